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
  /** Returns within how long a change under a prefix must take effect here, in milliseconds. */
  limitMsOf: (prefix: string) => number;
}

/** How long a relay waits for a change before it replies without one, in milliseconds. */
const relayWaitMs = { min: 100, max: 1_000 } as const;
/** How much longer the reply may take, in milliseconds; instances of a domain are a few ms apart. */
const relayMarginMs = 150;
/** How long a relay that failed is not queried again, in milliseconds. */
const relayFailureMs = 2_000;
/** Time reserved for reading the store itself once what is known may be out of date, in milliseconds. */
const directReadMs = 700;
/** The part of a limit for which a relay that watches the store may collect changes before it watches again. */
const maxBatchShare = 0.2;
/** How much sooner than needed a relay's watch ends, in milliseconds: the time of the call itself. */
const watchMarginMs = 100;
/** Largest age that is recorded, in milliseconds. */
const maxRecordedAgeMs = 60_000;
/** Shortest watch of a relay, in milliseconds. Each watch is a call that is charged for. */
const minRelayWatchMs = 500;

interface WatchedPrefix {
  readonly log: ChangeLog;
  /** When the store itself last responded, on the monotonic clock; -Infinity if it did not. */
  confirmedAtMs: number;
}

/** Changes that a relay replied with, and how long before its reply the store had confirmed them. */
interface RelayedChanges {
  readonly changes: StoreChanges;
  readonly ageMs: number;
}

/**
 * A store that is watched through a peer: in a large failure domain two instances watch the store, and the
 * others ask them.
 *
 * Guards against calls that grow with the fleet: each change costs one call of each watching instance, and
 * each instance would make one every few seconds without any change.
 *
 * Guards against a relay that has lost the store without noticing it: each reply says how long ago the store has
 * confirmed what it rests on. An instance adds up that age and its own waits, and reads the store itself before the time
 * is used up within which a change must take effect; so it does where a relay does not reply. Relays watch in turns short
 * enough that this does not happen while the store responds.
 */
export class RelayedObjectStore extends ObjectStore implements Disposable {
  readonly #options: RelayedObjectStoreOptions;
  readonly #prefixes = new Map<string, WatchedPrefix>();
  /** For each relay that failed, the time until which it is not asked. */
  readonly #failedUntilMs = new Map<InstanceId, number>();
  readonly #subscription: Disposable;
  /** Prefixes whose last watch went through a peer. */
  readonly #relayedPrefixes = new Set<string>();
  /** For each prefix, until when the store has confirmed what this instance knows, on the monotonic clock. */
  readonly #knownAtMs = new Map<string, number>();

  constructor(options: RelayedObjectStoreOptions) {
    super();
    this.#options = options;
    this.#subscription = options.rpc.answer('storeChanges', async (request) => {
      const { prefix, sinceRevision, waitMs = relayWaitMs.max } = request;
      return {
        kind: 'storeChanges',
        ...(await this.#replyTo(prefix, sinceRevision, Math.min(waitMs, relayWaitMs.max))),
      };
    });
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
    this.#knownAtMs.set(prefix, confirmedAtMs);
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
      this.#knownAtMs.set(prefix, this.#options.clock.monotonicMs() - relayed.ageMs);
      this.#record(prefix, sinceRevision, relayed.changes, -Infinity);
      return relayed.changes;
    }
    // What is known may be too old by now, so that the store responds at once.
    const isImmediate = options.isImmediate === true || relay !== undefined;
    const maxWaitMs = this.#isRelay ? this.#relayWatchMs(prefix) : Infinity;
    const direct = { ...options, isImmediate, maxWaitMs };
    return this.#watchDirectly(prefix, sinceRevision, signal, direct);
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
      const nowMs = clock.monotonicMs();
      this.#knownAtMs.set(prefix, nowMs);
      this.#record(prefix, sinceRevision, watched, nowMs);
      return watched;
    } catch (thrown) {
      this.#markUnconfirmed(prefix);
      throw thrown;
    }
  }

  /** Age of what is known of a prefix from which the store itself must be read, in milliseconds. */
  #maxAgeMs(prefix: string): number {
    return Math.max(0, this.#options.limitMsOf(prefix) - directReadMs);
  }

  /** How long a relay watches the store without a change, so that others need not read it themselves. */
  #relayWatchMs(prefix: string): number {
    const batchMs = maxBatchShare * this.#options.limitMsOf(prefix);
    return Math.max(minRelayWatchMs, this.#maxAgeMs(prefix) - batchMs - watchMarginMs);
  }

  get #relays(): readonly InstanceId[] {
    return chooseRelays(this.#options.liveInDomain());
  }

  get #isRelay(): boolean {
    return this.#relays.includes(this.#options.instanceId);
  }

  /** The relay to ask; undefined if this instance is to watch the store itself. */
  #chooseRelay(): InstanceId | undefined {
    const { instanceId, clock } = this.#options;
    const relays = this.#relays;
    if (relays.includes(instanceId)) return undefined;
    const nowMs = clock.monotonicMs();
    const usable = relays.filter((id) => nowMs >= (this.#failedUntilMs.get(id) ?? -Infinity));
    const ranked = rankByKey(
      instanceId,
      usable.map((id) => ({ id })),
    );
    return ranked[0]?.id;
  }

  /** Asks a relay for changes; undefined if it does not reply in time, or what it replies is too old. */
  async #watchThrough(
    relay: InstanceId,
    prefix: string,
    sinceRevision: number,
  ): Promise<RelayedChanges | undefined> {
    const { rpc, clock, metrics } = this.#options;
    const waitMs = this.#waitMsAtRelay(prefix);
    const request = { kind: 'storeChanges', prefix, sinceRevision, waitMs } as const;
    let why = 'noReply';
    try {
      const reply = await rpc.ask(relay, request, { timeoutMs: waitMs + relayMarginMs });
      const { ageMs = Infinity } = reply;
      metrics.record('relayedAgeMs', prefix, Math.min(ageMs, maxRecordedAgeMs));
      if (reply.isCurrent && ageMs <= this.#maxAgeMs(prefix)) {
        metrics.count('relayedWatches', 'answered');
        const changes = reply.changes.map((change) => ({ object: undefined, ...change }));
        const revision = Math.max(sinceRevision, reply.revision);
        return { changes: { changes, revision }, ageMs };
      }
      why = reply.isCurrent ? 'tooOld' : 'notCurrent';
    } catch {
      // The store is watched directly instead.
    }
    metrics.count('relayedWatches', why);
    this.#failedUntilMs.set(relay, clock.monotonicMs() + relayFailureMs);
    return undefined;
  }

  /** How long a relay may wait for a change until what this instance knows is too old, in milliseconds. */
  #waitMsAtRelay(prefix: string): number {
    const knownAtMs = this.#knownAtMs.get(prefix) ?? -Infinity;
    const ageMs = this.#options.clock.monotonicMs() - knownAtMs;
    const leftMs = this.#maxAgeMs(prefix) - ageMs - relayMarginMs;
    return Math.round(Math.min(relayWaitMs.max, Math.max(relayWaitMs.min, leftMs)));
  }

  async #replyTo(prefix: string, sinceRevision: number, waitMs: number) {
    const notCurrent = { isCurrent: false, changes: [], revision: 0 };
    const before = this.#currentChanges(prefix, sinceRevision);
    if (before === undefined) return notCurrent;
    if (before.changes.length === 0) await this.#waitForChanges(prefix, waitMs);
    const watched = this.#currentChanges(prefix, sinceRevision);
    return watched === undefined ? notCurrent : { isCurrent: true, ...watched };
  }

  #currentChanges(prefix: string, sinceRevision: number) {
    const watched = this.#prefixes.get(prefix);
    if (watched === undefined) return undefined;
    const ageMs = this.#options.clock.monotonicMs() - watched.confirmedAtMs;
    const changes = ageMs === Infinity ? undefined : watched.log.since(sinceRevision);
    return changes === undefined ? undefined : { ...changes, changes: [...changes.changes], ageMs };
  }

  async #waitForChanges(prefix: string, waitMs: number): Promise<void> {
    const ended = new AbortController();
    const timer = this.#options.clock.schedule(waitMs, () => {
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
