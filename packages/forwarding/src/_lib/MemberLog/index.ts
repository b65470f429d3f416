import type { InstanceId, Log, Metrics } from '@acaciacrank/base';
import type { Member, MemberState } from '@acaciacrank/fleet';

/** Options of {@link MemberLog}. */
export interface MemberLogOptions {
  log: Log;
  metrics: Metrics;
  /** How long ago the store's list of instances was read, in milliseconds. */
  listAgeMs: () => number | undefined;
}

/** Tells of each change of what this instance believes about another one. */
export class MemberLog {
  readonly #options: MemberLogOptions;
  readonly #states = new Map<InstanceId, MemberState>();

  constructor(options: MemberLogOptions) {
    this.#options = options;
  }

  /** Notes how all other instances are seen now. */
  note(members: readonly Member[]): void {
    for (const { id, state, incarnation } of members) {
      const was = this.#states.get(id);
      if (was === state) continue;
      this.#states.set(id, state);
      this.#tell({ peer: id, state, was, incarnation });
    }
    const known = new Set(members.map(({ id }) => id));
    for (const [id, was] of this.#states) {
      if (known.has(id)) continue;
      this.#states.delete(id);
      this.#tell({ peer: id, state: 'forgotten', was });
    }
  }

  #tell(change: {
    readonly peer: InstanceId;
    readonly state: string;
    readonly [more: string]: unknown;
  }): void {
    const { log, metrics, listAgeMs } = this.#options;
    metrics.count('membershipChanges', change.state);
    log.info({ ...change, listAgeMs: listAgeMs() }, 'peer');
  }
}
