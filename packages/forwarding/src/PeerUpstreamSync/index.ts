import type { Clock, InstanceId, Random } from '@acaciacrank/base';
import type { FleetRpc } from '@acaciacrank/fleet';
import type { DomainDrains } from '../DomainDrains/index.js';
import type { UpstreamTable } from '../UpstreamTable/index.js';

/** Options of {@link PeerUpstreamSync}. */
export interface PeerUpstreamSyncOptions {
  rpc: FleetRpc;
  clock: Clock;
  random: Random;
  table: UpstreamTable;
  drains: DomainDrains;
  /** Whether this instance currently gets no updates about upstreams from the store. */
  isStoreUnavailable: () => boolean;
  /** The peers that may be queried. */
  peers: () => readonly InstanceId[];
}

/** Interval at which a peer is queried while the store is unavailable here, in milliseconds. */
const askIntervalMs = 1_000;

/**
 * Exchanges upstream records and drained failure domains between instances, for an instance that cannot
 * reach the store.
 *
 * Guards against an instance that keeps using upstreams which announced long ago that they are
 * leaving: connections are refused and responses never arrive, at this one instance only. A peer
 * that cannot reach the store either reports that and sends no records.
 */
export class PeerUpstreamSync implements Disposable {
  readonly #options: PeerUpstreamSyncOptions;
  readonly #subscription: Disposable;
  readonly #stop = new AbortController();

  constructor(options: PeerUpstreamSyncOptions) {
    this.#options = options;
    const { rpc, table, drains, isStoreUnavailable } = options;
    this.#subscription = rpc.answer('upstreams', () => {
      const isCurrent = !isStoreUnavailable();
      const records = isCurrent ? table.all().map(({ record }) => record) : [];
      const drainedDomains = isCurrent && drains.isKnown ? [...drains.current] : undefined;
      return { kind: 'upstreams', isCurrent, records, drainedDomains };
    });
  }

  /** Asks a random peer at each interval while the store is unavailable, until disposed of. */
  async run(): Promise<void> {
    const { clock, isStoreUnavailable } = this.#options;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(askIntervalMs, this.#stop.signal);
      if (isStoreUnavailable() && !this.#stop.signal.aborted) await this.#askPeer();
    }
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#subscription[Symbol.dispose]();
  }

  async #askPeer(): Promise<void> {
    const { rpc, random, table, drains, isStoreUnavailable, peers } = this.#options;
    const candidates = peers();
    const peer = candidates[Math.floor(random() * candidates.length)];
    if (peer === undefined) return;
    try {
      const reply = await rpc.ask(peer, { kind: 'upstreams' });
      if (!reply.isCurrent || !isStoreUnavailable()) return;
      table.mergeFromPeer(reply.records);
      if (reply.drainedDomains !== undefined) drains.replaceAll(reply.drainedDomains);
    } catch {
      // A random peer is queried again at the next interval.
    }
  }
}
