import { RouterError, type Clock } from '@acaciacrank/base';
import { InstanceList } from '../InstanceList/index.js';
import { ObjectStore } from '../ObjectStore/index.js';
import type {
  ListedInstance,
  StoreChange,
  StoreChanges,
  StoreSnapshot,
  StoredObject,
  WriteCondition,
  WriteResult,
} from '../types.js';

/** Calls that the platform has answered, by kind. */
export interface PlatformCalls {
  reads: number;
  writes: number;
  conflicts: number;
  watches: number;
}

/** Options of {@link MemoryPlatform}. */
export interface MemoryPlatformOptions {
  /** Hand values over frozen in place of copied: faster, for users that never change a value. */
  isSharing?: boolean;
}

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

/**
 * The platform in the small: objects with versions, conditional writes, watches and a lagging list.
 * One of it stands for the platform; each user of it has its own {@link MemoryObjectStore}.
 */
export class MemoryPlatform {
  readonly calls: PlatformCalls = { reads: 0, writes: 0, conflicts: 0, watches: 0 };
  readonly #clock: Clock;
  readonly #objects = new Map<string, StoredObject>();
  readonly #changes: StoreChange[] = [];
  readonly #instances = new Map<string, ListedInstance>();
  #waiters: Waiter[] = [];
  #revision = 0;
  #listed: readonly ListedInstance[] = [];
  #listedAtMs = -Infinity;

  /** Sees every object as it is written, for checks that must hold at each version. */
  onCommit: (object: StoredObject) => void = () => undefined;

  /** How far the instance list lags, in milliseconds. */
  listLagMs: number;

  readonly #copy: <Value>(value: Value) => Value;

  /**
   * @param clock - measures watches and the list's lag
   * @param listLagMs - how far the instance list lags, in milliseconds
   * @param options - how values are kept
   */
  constructor(clock: Clock, listLagMs = 0, options: MemoryPlatformOptions = {}) {
    this.#clock = clock;
    this.listLagMs = listLagMs;
    this.#copy = options.isSharing === true ? deepFreeze : structuredClone;
  }

  /** All objects, for checks. */
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
    if (!this.#holds(key, condition)) return this.#conflict();
    const version = this.#revision + 1;
    this.#commit(key, { key, version, value: this.#copy(value) });
    return { outcome: 'written', version };
  }

  remove(key: string, version: number): WriteResult {
    this.calls.writes += 1;
    if (!this.#holds(key, { kind: 'version', version })) return this.#conflict();
    const removedVersion = this.#revision + 1;
    this.#commit(key, undefined);
    return { outcome: 'written', version: removedVersion };
  }

  /** Waits until something under the prefix changed after the revision. */
  async watch(
    prefix: string,
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    this.calls.watches += 1;
    const ready = this.#changesSince(prefix, sinceRevision);
    if (ready.length > 0 || signal.aborted) return this.#answerWatch(ready, sinceRevision);
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
    return this.#answerWatch(this.#changesSince(prefix, sinceRevision), sinceRevision);
  }

  /** Tells the platform of an instance, as its own machinery does. */
  setInstance(instance: ListedInstance): void {
    this.#instances.set(instance.id, instance);
  }

  /** Takes an instance off the list. */
  removeInstance(id: string): void {
    this.#instances.delete(id);
  }

  /** The list as it was up to `listLagMs` ago. */
  instances(): readonly ListedInstance[] {
    const nowMs = this.#clock.monotonicMs();
    if (nowMs - this.#listedAtMs >= this.listLagMs) {
      this.#listed = [...this.#instances.values()];
      this.#listedAtMs = nowMs;
    }
    return this.#listed;
  }

  #holds(key: string, condition: WriteCondition): boolean {
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
    const older = this.#changes.findIndex((change) => change.key === key);
    if (older >= 0) this.#changes.splice(older, 1);
    this.#changes.push({ key, revision: this.#revision, object });
    for (const waiter of this.#waiters) if (key.startsWith(waiter.prefix)) waiter.wake();
  }

  #answerWatch(changes: StoreChange[], sinceRevision: number): StoreChanges {
    return { changes, revision: changes.at(-1)?.revision ?? sinceRevision };
  }

  /** Only the latest change of each key is kept: a watch that fell behind misses steps, not state. */
  #changesSince(prefix: string, sinceRevision: number): StoreChange[] {
    return this.#changes
      .filter((change) => change.revision > sinceRevision && change.key.startsWith(prefix))
      .map((change) => this.#copy(change));
  }
}

/** What can be wrong between one user and the platform. */
export interface PlatformLink {
  /** The platform cannot be reached. */
  isDown: boolean;
  /** How long each call takes, in milliseconds. */
  delayMs: number;
  /** How many of the next writes take effect and lose their answer. */
  answersToLose: number;
}

/** One user's in-process view of the object store. */
export class MemoryObjectStore extends ObjectStore {
  readonly link: PlatformLink = { isDown: false, delayMs: 0, answersToLose: 0 };
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
    await this.#reach();
    return this.#platform.read(key);
  }

  override async write(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    await this.#reach();
    return this.#answer(this.#platform.write(key, value, condition));
  }

  override async remove(key: string, version: number): Promise<WriteResult> {
    await this.#reach();
    return this.#answer(this.#platform.remove(key, version));
  }

  override async snapshot(prefix: string): Promise<StoreSnapshot> {
    await this.#reach();
    return this.#platform.snapshot(prefix);
  }

  override async watch(
    prefix: string,
    sinceRevision: number,
    signal: AbortSignal,
  ): Promise<StoreChanges> {
    await this.#reach();
    const changes = await this.#platform.watch(prefix, sinceRevision, this.#watchWaitMs, signal);
    if (this.link.isDown) throw unavailable();
    return changes;
  }

  async #reach(): Promise<void> {
    if (this.link.delayMs > 0) await this.#clock.sleep(this.link.delayMs);
    if (this.link.isDown) throw unavailable();
  }

  #answer(result: WriteResult): WriteResult {
    if (this.link.answersToLose > 0) {
      this.link.answersToLose -= 1;
      throw unavailable();
    }
    return result;
  }
}

/** One user's in-process view of the instance list. */
export class MemoryInstanceList extends InstanceList {
  readonly #platform: MemoryPlatform;
  readonly #link: PlatformLink;

  constructor(platform: MemoryPlatform, link: PlatformLink) {
    super();
    this.#platform = platform;
    this.#link = link;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    if (this.#link.isDown) throw unavailable();
    return this.#platform.instances();
  }
}

function unavailable(): RouterError {
  return new RouterError('storeUnavailable', 'the platform did not answer');
}

/** Freezes a value and all it holds, so that a change by one user cannot reach another unseen. */
function deepFreeze<Value>(value: Value): Value {
  if (typeof value !== 'object' || value === null || Object.isFrozen(value)) return value;
  Object.freeze(value);
  Object.values(value).forEach(deepFreeze);
  return value;
}
