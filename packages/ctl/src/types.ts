/**
 * Types that the commands share.
 */
import type { Clock } from '@acaciacrank/base';
import type { InstanceList, ListedInstance, ObjectStore } from '@acaciacrank/store';
import type { OperatorPortClient } from './OperatorPortClient/index.js';

/** The services and settings that commands use. */
export interface CommandContext {
  readonly clock: Clock;
  /** The store of all environments; each command uses the part of its own environment. */
  readonly store: ObjectStore;
  readonly instanceList: InstanceList;
  readonly operatorPortClient: OperatorPortClient;
  /** How long a command waits for instances to act on a change, in milliseconds. */
  readonly waitMs: number;
}

/** The result of a command. */
export interface CommandResult {
  /** The result as text for people. */
  readonly text: string;
  /** The result as data, which `--json` prints. */
  readonly data: Readonly<Record<string, unknown>>;
  /** False when part of the result is unknown, or when an instance does not act on the change yet. */
  readonly isCertain: boolean;
}

/** The status that an instance reports on its operators' port. */
export interface InstanceAnswer {
  readonly isAccepting: boolean;
  readonly openRequests: number;
  /** The configuration version that it acts on; undefined when it acts on none yet. */
  readonly version: number | undefined;
  /** Digest of the document of that version. */
  readonly digest: string | undefined;
  /** When it began to act on that version, in milliseconds since 1970. */
  readonly sinceMs: number | undefined;
  /** Why it could not load a version that it knows of. */
  readonly problem: string | undefined;
}

/** What is known about one listed instance. */
export interface InstanceView {
  readonly entry: ListedInstance;
  /** Its status; undefined when it is unknown. */
  readonly answer: InstanceAnswer | undefined;
  /** Why its status is unknown. */
  readonly reason: string | undefined;
}

/** What is known about all listed instances of an environment. */
export interface FleetView {
  readonly instances: readonly InstanceView[];
  /** Why the instance list itself could not be read. */
  readonly listProblem: string | undefined;
}
