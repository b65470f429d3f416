import type { Clock, InstanceId, Random } from '@acaciacrank/base';
import type { FleetQuestions } from '@acaciacrank/fleet';
import type { UpstreamTable } from '../UpstreamTable/index.js';

/** Options of {@link UpstreamSpread}. */
export interface UpstreamSpreadOptions {
  questions: FleetQuestions;
  clock: Clock;
  random: Random;
  table: UpstreamTable;
  /** Whether the store does not tell this instance of upstreams now. */
  isStoreAway: () => boolean;
  /** Whom to ask. */
  peers: () => readonly InstanceId[];
}

/** How often a peer is asked while the store is away here, in milliseconds. */
const askEveryMs = 1_000;

/**
 * What the store tells peers of upstreams, for an instance that it turns away.
 *
 * Guards against going on with upstreams that have long said that they leave: it shows as refused
 * connections and answers that never come, at one instance only. A peer that the store does not
 * answer either says so and tells nothing.
 */
export class UpstreamSpread implements Disposable {
  readonly #options: UpstreamSpreadOptions;
  readonly #answering: Disposable;
  readonly #stop = new AbortController();

  constructor(options: UpstreamSpreadOptions) {
    this.#options = options;
    const { questions, table, isStoreAway } = options;
    this.#answering = questions.answer('upstreams', () => {
      const isCurrent = !isStoreAway();
      const records = isCurrent ? table.all().map(({ record }) => record) : [];
      return { kind: 'upstreams', isCurrent, records };
    });
  }

  /** Asks peers while the store is away, until disposed of. */
  async run(): Promise<void> {
    const { clock, isStoreAway } = this.#options;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(askEveryMs, this.#stop.signal);
      if (isStoreAway() && !this.#stop.signal.aborted) await this.#ask();
    }
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#answering[Symbol.dispose]();
  }

  async #ask(): Promise<void> {
    const { questions, random, table, isStoreAway, peers } = this.#options;
    const candidates = peers();
    const peer = candidates[Math.floor(random() * candidates.length)];
    if (peer === undefined) return;
    try {
      const { isCurrent, records } = await questions.ask(peer, { kind: 'upstreams' });
      if (isCurrent && isStoreAway()) table.hearFromPeer(records);
    } catch {
      // Another one is asked soon.
    }
  }
}
