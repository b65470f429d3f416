/**
 * Types that the commands share.
 */
import type { Clock } from '@acaciacrank/base';
import type { InstanceList, ListedInstance, ObjectStore } from '@acaciacrank/store';
import type { OperatorPorts } from './OperatorPorts/index.js';

/** What the commands work on. */
export interface CommandContext {
  readonly clock: Clock;
  /** The whole store; each command takes the part of its environment. */
  readonly store: ObjectStore;
  readonly list: InstanceList;
  readonly ports: OperatorPorts;
  /** How long a command waits for instances to act on what it put in force, in milliseconds. */
  readonly waitMs: number;
}

/** What a command did: for people, and for machines. */
export interface CommandResult {
  readonly text: string;
  readonly data: Readonly<Record<string, unknown>>;
  /** False when something that the command tells of is unknown, or is not yet so. */
  readonly isCertain: boolean;
}

/** What an instance says of itself on its operators' port. */
export interface InstanceAnswer {
  readonly isAccepting: boolean;
  readonly openRequests: number;
  /** undefined when it acts on no version yet. */
  readonly version: number | undefined;
  readonly digest: string | undefined;
  readonly sinceMs: number | undefined;
  /** Why it could not take up a version that it knows of. */
  readonly problem: string | undefined;
}

/** What is known of one listed instance. */
export interface InstanceView {
  readonly entry: ListedInstance;
  /** undefined when it is unknown. */
  readonly answer: InstanceAnswer | undefined;
  /** Why it is unknown. */
  readonly reason: string | undefined;
}

/** What is known of all listed instances of an environment. */
export interface FleetView {
  readonly instances: readonly InstanceView[];
  /** Why even the list is unknown. */
  readonly listProblem: string | undefined;
}
