import type { Clock, InstanceId, Metrics } from '@acaciacrank/base';
import type { FleetRpc } from '@acaciacrank/fleet';
import { rankByKey } from '@acaciacrank/routing';
import {
  ObjectStore,
  type SnapshotOptions,
  type StoreChanges,
  type StoreEpochs,
  type StoredObject,
  type StoreSnapshot,
  type WatchOptions,
  type WriteCondition,
  type WriteResult,
} from '@acaciacrank/store';
import { ChangeLog } from '../_lib/ChangeLog/index.js';
import { chooseRelays } from '../_lib/chooseRelays/index.js';

/** Options of {@link RelayedObjectStore}. */
export interface RelayedObjectStoreOptions {
  store: ObjectStore;
  rpc: FleetRpc;
  clock: Clock;
  metrics: Metrics;
  instanceId: InstanceId;
  /** The live instances of the own failure domain, including this one. */
  liveInDomain: () => readonly InstanceId[];
}

/** How long a relay waits for a change before it replies without one, in milliseconds. */
const relayWaitMs = 1_000;
/** How much longer the reply may take, in milliseconds; instances of a domain are a few ms apart. */
const relayMarginMs = 300;
/** How long a relay that failed is not asked again, in milliseconds. */
const relayFailureMs = 2_000;
/**
 * Age of the last response of the store up to which a relay replies, in milliseconds. A watch without
 * changes takes a few seconds; after that its connection may have gone silent.
 */
const maxConfirmationAgeMs = 5_000;

interface WatchedPrefix {
  readonly log: ChangeLog;
  /** When the store itself last responded, on the monotonic clock; -Infinity if it did not. */
  confirmedAtMs: number;
}

/**
 * A store that is watched through a peer: in a large failure domain two instances watch the store, and the
 * others ask them.
 *
 * Guards against calls that grow with the fleet: each change costs one call of each watching instance, and
 * each instance would make one every few seconds without any change. An instance watches the store itself
 * as soon as its relay does not reply, or replies that it is not up to date. So a change is missed for no
 * longer than a reply takes, also when the links are cut or the relays are gone.
 */
export class RelayedObjectStore extends ObjectStore implements Disposable {
  readonly #options: RelayedObjectStoreOptions;
  readonly #prefixes = new Map<string, WatchedPrefix>();
  /** For each relay that failed, the time until which it is not asked. */
  readonly #failedUntilMs = new Map<InstanceId, number>();
  readonly #subscription: Disposable;
  /** Prefixes whose last watch went through a peer. */
  readonly #relayedPrefixes = new Set<string>();

  constructor(options: RelayedObjectStoreOptions) {
    super();
    this.#options = options;
    this.#subscription = options.rpc.answer('storeChanges', async ({ prefix, sinceRevision }) => ({
      kind: 'storeChanges',
      ...(await this.#replyTo(prefix, sinceRevision)),
    }));
  }

  /**
   * Whether the last watch of a prefix went through a peer, so that it shows nothing about the store
   * itself.
   */
  isRelayed(prefix: string): boolean {
    return this.#relayedPrefixes.has(prefix);
  }

  override get epochs(): StoreEpochs {
    return this.#options.store.epochs;
  }

  override read(key: string): Promise<StoredObject | undefined> {
    return this.#options.store.read(key);
  }

  override write(key: string, value: unknown, condition: WriteCondition): Promise<WriteResult> {
    return this.#options.store.write(key, value, condition);
  }

  override remove(key: string, version: number): Promise<WriteResult> {
    return this.#options.store.remove(key, version);
  }

  override async snapshot(prefix: string, options?: SnapshotOptions): Promise<StoreSnapshot> {
    const snapshot = await this.#options.store.snapshot(prefix, options);
    const confirmedAtMs = this.#options.clock.monotonicMs();
    this.#prefixes.get(prefix)?.log.wake();
    this.#prefixes.set(prefix, { log: new ChangeLog(snapshot.revision), confirmedAtMs });
    return snapshot;
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    options: WatchOptions = {},
  ): Promise<StoreChanges> {
    const relay = options.isImmediate === true ? undefined : this.#chooseRelay();
    const relayed =
      relay === undefined ? undefined : await this.#watchThrough(relay, prefix, sinceRevision);
    this.#relayedPrefixes.delete(prefix);
    if (relayed !== undefined) {
      this.#relayedPrefixes.add(prefix);
      this.#record(prefix, sinceRevision, relayed, -Infinity);
      return relayed;
    }
    return this.#watchDirectly(prefix, sinceRevision, signal, options);
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
    for (const { log } of this.#prefixes.values()) log.wake();
  }

  async #watchDirectly(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    options: WatchOptions,
  ): Promise<StoreChanges> {
    const { store, clock } = this.#options;
    try {
      const watched = await store.watch(prefix, sinceRevision, signal, options);
      this.#record(prefix, sinceRevision, watched, clock.monotonicMs());
      return watched;
    } catch (thrown) {
      this.#markUnconfirmed(prefix);
      throw thrown;
    }
  }

  /** The relay to ask; undefined if this instance is to watch the store itself. */
  #chooseRelay(): InstanceId | undefined {
    const { instanceId, liveInDomain, clock } = this.#options;
    const relays = chooseRelays(liveInDomain());
    if (relays.includes(instanceId)) return undefined;
    const nowMs = clock.monotonicMs();
    const usable = relays.filter((id) => nowMs >= (this.#failedUntilMs.get(id) ?? -Infinity));
    const ranked = rankByKey(
      instanceId,
      usable.map((id) => ({ id })),
    );
    return ranked[0]?.id;
  }

  /** Asks a relay for changes; undefined if it does not reply or is not up to date. */
  async #watchThrough(
    relay: InstanceId,
    prefix: string,
    sinceRevision: number,
  ): Promise<StoreChanges | undefined> {
    const { rpc, clock, metrics } = this.#options;
    const request = { kind: 'storeChanges', prefix, sinceRevision } as const;
    try {
      const reply = await rpc.ask(relay, request, { timeoutMs: relayWaitMs + relayMarginMs });
      if (reply.isCurrent) {
        metrics.count('relayedWatches', 'answered');
        const changes = reply.changes.map((change) => ({ object: undefined, ...change }));
        return { changes, revision: Math.max(sinceRevision, reply.revision) };
      }
    } catch {
      // The store is watched directly instead.
    }
    metrics.count('relayedWatches', 'failed');
    this.#failedUntilMs.set(relay, clock.monotonicMs() + relayFailureMs);
    return undefined;
  }

  async #replyTo(prefix: string, sinceRevision: number) {
    const notCurrent = { isCurrent: false, changes: [], revision: 0 };
    const before = this.#currentChanges(prefix, sinceRevision);
    if (before === undefined) return notCurrent;
    if (before.changes.length === 0) await this.#waitForChanges(prefix);
    const watched = this.#currentChanges(prefix, sinceRevision);
    return watched === undefined ? notCurrent : { isCurrent: true, ...watched };
  }

  #currentChanges(prefix: string, sinceRevision: number) {
    const watched = this.#prefixes.get(prefix);
    if (watched === undefined) return undefined;
    const ageMs = this.#options.clock.monotonicMs() - watched.confirmedAtMs;
    const changes = ageMs > maxConfirmationAgeMs ? undefined : watched.log.since(sinceRevision);
    return changes === undefined ? undefined : { ...changes, changes: [...changes.changes] };
  }

  async #waitForChanges(prefix: string): Promise<void> {
    const ended = new AbortController();
    const timer = this.#options.clock.schedule(relayWaitMs, () => {
      ended.abort();
    });
    await this.#prefixes.get(prefix)?.log.waitForChanges(ended.signal);
    timer[Symbol.dispose]();
  }

  #record(
    prefix: string,
    sinceRevision: number,
    watched: StoreChanges,
    confirmedAtMs: number,
  ): void {
    const known = this.#prefixes.get(prefix) ?? {
      log: new ChangeLog(sinceRevision),
      confirmedAtMs,
    };
    known.confirmedAtMs = confirmedAtMs;
    this.#prefixes.set(prefix, known);
    known.log.add(sinceRevision, watched);
  }

  #markUnconfirmed(prefix: string): void {
    const watched = this.#prefixes.get(prefix);
    if (watched === undefined) return;
    watched.confirmedAtMs = -Infinity;
    watched.log.wake();
  }
}
