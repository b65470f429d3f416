import { RouterError, type Clock } from '@acaciacrank/base';
import { InstanceList } from '../InstanceList/index.js';
import { ObjectStore } from '../ObjectStore/index.js';
import { composeVersion, epochOf, revisionOf } from '../storeVersion/index.js';
import type {
  ListedInstance,
  WatchOptions,
  StoreChange,
  StoreChanges,
  StoreSnapshot,
  StoredObject,
  WriteCondition,
  WriteResult,
} from '../types.js';

/** Numbers of calls received by the platform, by kind. */
export interface PlatformCalls {
  reads: number;
  writes: number;
  conflicts: number;
  watches: number;
}

/** Options of {@link MemoryPlatform}. */
export interface MemoryPlatformOptions {
  /** Return frozen values instead of copies: faster, for clients that never modify a value. */
  isSharing?: boolean;
}

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

/** What a platform held at one moment; see {@link MemoryPlatform.restore}. */
export interface PlatformCopy {
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/**
 * In-memory platform with versioned objects, conditional writes, watches and a lagging instance
 * list. Clients share one platform, each through its own {@link MemoryObjectStore}.
 *
 * Its versions are revisions, as the platform's protocol has them; clients add the epoch.
 */
export class MemoryPlatform {
  readonly calls: PlatformCalls = { reads: 0, writes: 0, conflicts: 0, watches: 0 };
  readonly #clock: Clock;
  #objects = new Map<string, StoredObject>();
  #changes: StoreChange[] = [];
  readonly #instances = new Map<string, ListedInstance>();
  #waiters: Waiter[] = [];
  #revision = 0;
  #epoch = 0;
  #listed: readonly ListedInstance[] = [];
  #listedAtMs = -Infinity;

  /** Called with every written object, so that tests can check invariants at each version. */
  onCommit: (object: StoredObject) => void = () => undefined;

  /** Lag of the instance list, in milliseconds. */
  listLagMs: number;

  readonly #copy: <Value>(value: Value) => Value;

  /**
   * @param clock - times watches and the lag of the list
   * @param listLagMs - lag of the instance list, in milliseconds
   * @param options - whether values are shared or copied
   */
  constructor(clock: Clock, listLagMs = 0, options: MemoryPlatformOptions = {}) {
    this.#clock = clock;
    this.listLagMs = listLagMs;
    this.#copy = options.isSharing === true ? deepFreeze : structuredClone;
  }

  /** Number of times that the store returned from an older copy. */
  get epoch(): number {
    return this.#epoch;
  }

  /** The revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** Copies all objects, to {@link restore} them later. */
  copy(): PlatformCopy {
    return {
      objects: new Map(this.#objects),
      changes: [...this.#changes],
      revision: this.#revision,
    };
  }

  /**
   * Comes back from an older copy: everything written since is lost, revisions go back and are given
   * out again, the epoch rises, and waiting watches are cut.
   *
   * @param copy - what the platform held at an earlier moment
   */
  restore(copy: PlatformCopy): void {
    this.#objects = new Map(copy.objects);
    this.#changes = [...copy.changes];
    this.#revision = copy.revision;
    this.#epoch += 1;
    for (const waiter of this.#waiters) waiter.wake();
  }

  /** Returns all objects, without counting a call. */
  objects(): StoredObject[] {
    return [...this.#objects.values()];
  }

  read(key: string): StoredObject | undefined {
    this.calls.reads += 1;
    return this.#copy(this.#objects.get(key));
  }

  snapshot(prefix: string): StoreSnapshot {
    this.calls.reads += 1;
    const objects = [...this.#objects.values()]
      .filter((object) => object.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map((object) => this.#copy(object));
    return { objects, revision: this.#revision };
  }

  write(key: string, value: unknown, condition: WriteCondition): WriteResult {
    this.calls.writes += 1;
    if (!this.#isConditionMet(key, condition)) return this.#conflict();
    const version = this.#revision + 1;
    this.#commit(key, { key, version, value: this.#copy(value) });
    return { outcome: 'written', version };
  }

  remove(key: string, version: number): WriteResult {
    this.calls.writes += 1;
    if (!this.#isConditionMet(key, { kind: 'version', version })) return this.#conflict();
    const removedVersion = this.#revision + 1;
    this.#commit(key, undefined);
    return { outcome: 'written', version: removedVersion };
  }

  /** Waits for a change under the prefix after the revision, for at most `waitMs`. */
  async watch(
    prefix: string,
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    this.calls.watches += 1;
    if (sinceRevision > this.#revision) throw createHistoryGoneError();
    const epoch = this.#epoch;
    const pendingChanges = this.#changesSince(prefix, sinceRevision);
    if (pendingChanges.length > 0 || signal.aborted)
      return this.#toStoreChanges(pendingChanges, sinceRevision);
    const wakeUp = new AbortController();
    const waiter: Waiter = {
      prefix,
      wake: () => {
        wakeUp.abort();
      },
    };
    this.#waiters.push(waiter);
    signal.addEventListener('abort', waiter.wake, { once: true });
    await this.#clock.sleep(waitMs, wakeUp.signal);
    signal.removeEventListener('abort', waiter.wake);
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
    if (this.#epoch !== epoch) throw createUnavailableError();
    return this.#toStoreChanges(this.#changesSince(prefix, sinceRevision), sinceRevision);
  }

  /** Adds or replaces an instance, which appears in the list after its lag. */
  setInstance(instance: ListedInstance): void {
    this.#instances.set(instance.id, instance);
  }

  /** Removes an instance, which disappears from the list after its lag. */
  removeInstance(id: string): void {
    this.#instances.delete(id);
  }

  /** Returns the list as it was up to `listLagMs` ago. */
  instances(): readonly ListedInstance[] {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#listedAtMs >= this.listLagMs) {
      this.#listed = [...this.#instances.values()];
      this.#listedAtMs = nowMs;
    }
    return this.#listed;
  }

  #isConditionMet(key: string, condition: WriteCondition): boolean {
    const current = this.#objects.get(key);
    if (condition.kind === 'none') return true;
    if (condition.kind === 'absent') return current === undefined;
    return current?.version === condition.version;
  }

  #conflict(): WriteResult {
    this.calls.conflicts += 1;
    return { outcome: 'conflict' };
  }

  #commit(key: string, object: StoredObject | undefined): void {
    if (object === undefined) this.#objects.delete(key);
    else this.#objects.set(key, object);
    if (object !== undefined) this.onCommit(object);
    this.#revision += 1;
    const olderIndex = this.#changes.findIndex((change) => change.key === key);
    if (olderIndex >= 0) this.#changes.splice(olderIndex, 1);
    this.#changes.push({ key, revision: this.#revision, object });
    for (const waiter of this.#waiters) if (key.startsWith(waiter.prefix)) waiter.wake();
  }

  #toStoreChanges(changes: StoreChange[], sinceRevision: number): StoreChanges {
    return { changes, revision: changes.at(-1)?.revision ?? sinceRevision };
  }

  /** Only the latest change of each key is kept, so a late watch skips intermediate states. */
  #changesSince(prefix: string, sinceRevision: number): StoreChange[] {
    return this.#changes
      .filter((change) => change.revision > sinceRevision && change.key.startsWith(prefix))
      .map((change) => this.#copy(change));
  }
}

/** Simulated faults of the link between one client and the platform. */
export interface PlatformLink {
  /** Whether the platform is unreachable. */
  isDown: boolean;
  /** Whether the platform keeps silent, on calls and watches that wait too; false by default. */
  isSilent?: boolean;
  /** Latency of each call, in milliseconds. */
  delayMs: number;
  /** Number of upcoming writes that take effect but whose response is lost. */
  responsesToLose: number;
}

/** How long a client waits for a response that does not arrive, beyond the wait of a watch, in milliseconds. */
const silentCallMs = 600;

/** In-process object store of one client. */
export class MemoryObjectStore extends ObjectStore {
  readonly link: PlatformLink = { isDown: false, delayMs: 0, responsesToLose: 0 };
  readonly #platform: MemoryPlatform;
  readonly #clock: Clock;
  readonly #watchWaitMs: number;

  constructor(platform: MemoryPlatform, clock: Clock, watchWaitMs = 20_000) {
    super();
    this.#platform = platform;
    this.#clock = clock;
    this.#watchWaitMs = watchWaitMs;
  }

  override async read(key: string): Promise<StoredObject | undefined> {
    await this.#applyFaults();
    const stored = this.#platform.read(key);
    this.#observeEpoch();
    return stored === undefined ? undefined : this.#withEpoch(stored);
  }

  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    await this.#applyFaults();
    if (condition.kind !== 'version') {
      return this.#respond(this.#platform.write(key, value, condition));
    }
    if (epochOf(condition.version) !== this.epochs.value) return { outcome: 'conflict' };
    const version = revisionOf(condition.version);
    return this.#respond(this.#platform.write(key, value, { kind: 'version', version }));
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    await this.#applyFaults();
    if (epochOf(version) !== this.epochs.value) return { outcome: 'conflict' };
    return this.#respond(this.#platform.remove(key, revisionOf(version)));
  }

  override async snapshot(prefix: string): Promise<StoreSnapshot> {
    await this.#applyFaults();
    const { objects, revision } = this.#platform.snapshot(prefix);
    this.#observeEpoch();
    return {
      objects: objects.map((stored) => this.#withEpoch(stored)),
      revision: composeVersion(this.epochs.value, revision),
    };
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
    { isImmediate = false, maxWaitMs = Infinity }: WatchOptions = {},
  ): Promise<StoreChanges> {
    const waitMs = isImmediate ? 0 : Math.min(maxWaitMs, this.#watchWaitMs);
    const untilMs = this.#clock.monotonicMs() + waitMs + silentCallMs;
    if (this.link.isSilent !== true) await this.#applyFaults();
    const since = revisionOf(sinceRevision);
    if (since > 0) this.#requireEpoch(sinceRevision);
    const watched = await this.#platform.watch(prefix, since, waitMs, signal);
    if (this.link.isSilent === true) await this.#clock.sleep(untilMs - this.#clock.monotonicMs());
    if (this.link.isDown || this.link.isSilent === true) throw createUnavailableError();
    this.#observeEpoch();
    if (since > 0) this.#requireEpoch(sinceRevision);
    const changes = watched.changes.map(({ key, revision, object }) => ({
      key,
      revision: composeVersion(this.epochs.value, revision),
      object: object === undefined ? undefined : this.#withEpoch(object),
    }));
    return { changes, revision: composeVersion(this.epochs.value, watched.revision) };
  }

  async #applyFaults(): Promise<void> {
    if (this.link.delayMs > 0) await this.#clock.sleep(this.link.delayMs);
    if (this.link.isSilent === true) await this.#clock.sleep(silentCallMs);
    if (this.link.isDown || this.link.isSilent === true) throw createUnavailableError();
  }

  #respond(result: WriteResult): WriteResult {
    if (this.link.responsesToLose > 0) {
      this.link.responsesToLose -= 1;
      throw createUnavailableError();
    }
    this.#observeEpoch();
    if (result.outcome === 'conflict') return result;
    return { ...result, version: composeVersion(this.epochs.value, result.version) };
  }

  /** Each response of the platform contains its epoch. */
  #observeEpoch(): void {
    this.epochs.observe(this.#platform.epoch);
  }

  #requireEpoch(revision: number): void {
    if (epochOf(revision) !== this.epochs.value) throw createHistoryGoneError();
  }

  #withEpoch(stored: StoredObject): StoredObject {
    return { ...stored, version: composeVersion(this.epochs.value, stored.version) };
  }
}

/** In-process instance list of one client. */
export class MemoryInstanceList extends InstanceList {
  readonly #platform: MemoryPlatform;
  readonly #link: PlatformLink;

  constructor(platform: MemoryPlatform, link: PlatformLink) {
    super();
    this.#platform = platform;
    this.#link = link;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    if (this.#link.isDown) throw createUnavailableError();
    return this.#platform.instances();
  }
}

function createHistoryGoneError(): RouterError {
  return new RouterError('historyGone', 'the platform does not have this revision');
}

function createUnavailableError(): RouterError {
  return new RouterError('storeUnavailable', 'the platform did not answer');
}

/**
 * Freezes a value recursively, so that a modification by one client throws instead of reaching
 * others.
 */
function deepFreeze<Value>(value: Value): Value {
  if (typeof value !== 'object' || value === null || Object.isFrozen(value)) return value;
  Object.freeze(value);
  Object.values(value).forEach(deepFreeze);
  return value;
}
