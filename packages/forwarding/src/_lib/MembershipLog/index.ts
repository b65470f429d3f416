import type { InstanceId, Log, Metrics } from '@acaciacrank/base';
import type { Member, MemberState } from '@acaciacrank/fleet';

/** Options of {@link MembershipLog}. */
export interface MembershipLogOptions {
  log: Log;
  metrics: Metrics;
  /**
   * Time since the store's list of instances was last read, in milliseconds; undefined before the
   * first read.
   */
  listAgeMs: () => number | undefined;
}

/** Logs each change of another instance's state as seen by this instance. */
export class MembershipLog {
  readonly #options: MembershipLogOptions;
  readonly #states = new Map<InstanceId, MemberState>();

  constructor(options: MembershipLogOptions) {
    this.#options = options;
  }

  /** Logs the differences between the given states of all other instances and the previous ones. */
  update(members: readonly Member[]): void {
    for (const { id, state, incarnation } of members) {
      const was = this.#states.get(id);
      if (was === state) continue;
      this.#states.set(id, state);
      this.#logChange({ peer: id, state, was, incarnation });
    }
    const known = new Set(members.map(({ id }) => id));
    for (const [id, was] of this.#states) {
      if (known.has(id)) continue;
      this.#states.delete(id);
      this.#logChange({ peer: id, state: 'forgotten', was });
    }
  }

  #logChange(change: {
    readonly peer: InstanceId;
    readonly state: string;
    readonly [more: string]: unknown;
  }): void {
    const { log, metrics, listAgeMs } = this.#options;
    metrics.count('membershipChanges', change.state);
    log.info({ ...change, listAgeMs: listAgeMs() }, 'peer');
  }
}
