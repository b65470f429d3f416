import type { Clock, FailureDomainId, InstanceId } from '@acaciacrank/base';
import type { ObjectStore, StoredObject } from '@acaciacrank/store';
import { z } from 'zod';

/** One instance as the store knows it. */
export interface RegisteredInstance {
  readonly instanceId: InstanceId;
  readonly runId: string;
  /** `IP:PORT` where callers connect. */
  readonly callerAddress: string;
  readonly failureDomain: FailureDomainId;
  /** `ws://IP:PORT` where peers connect. */
  readonly fleetUrl: string;
  /** Drawn anew at each start; whoever connects has to prove that it could read it here. */
  readonly linkKey: string;
  readonly state: 'live' | 'leaving';
  /** Rises while the instance lives. */
  readonly heartbeat: number;
}

/** Options of {@link InstanceRegistry}. */
export interface InstanceRegistryOptions {
  store: ObjectStore;
  clock: Clock;
  self: Omit<RegisteredInstance, 'heartbeat' | 'state'>;
  /** Called when an instance appears, leaves or is taken for dead. */
  onChange?: (change: MembershipChange) => void;
  /** Called after each list with the other instances that are not known to be gone. */
  onList?: (others: readonly RegisteredInstance[]) => void;
  /** Called after each try to list with whether it succeeded. */
  onTry?: (isListed: boolean) => void;
}

/** A change of what this instance believes about the fleet. */
export interface MembershipChange {
  readonly instanceId: InstanceId;
  readonly what: 'seen' | 'leaving' | 'dead' | 'gone';
  /** How long ago its last heartbeat was seen, in milliseconds of successful lists. */
  readonly heartbeatAgeMs: number;
}

/** Where registrations lie in the store. */
export const registrationPrefix = 'instances/';

/**
 * How often this instance writes that it lives, in milliseconds: a third of the time after which it
 * is taken for dead. Each write is a priced call.
 */
const heartbeatMs = 4_000;
/** How often the list is read, in milliseconds; stale reads cost a tenth. */
const listMs = 1_000;
/**
 * Without a new heartbeat for this long an instance is left out of the directory, in milliseconds.
 * Longer than the 9 s for which the store may turn away an instance that callers still reach.
 */
const deadMs = 12_000;
/** A registration without heartbeats for this long is removed by whoever sees it, in milliseconds. */
const forgottenMs = 120_000;
/** The longest step by which one list advances the age of heartbeats, in milliseconds. */
const longestListStepMs = 1_500;

const registrationSchema = z.object({
  instanceId: z.string(),
  runId: z.string(),
  callerAddress: z.string(),
  failureDomain: z.string(),
  fleetUrl: z.string(),
  linkKey: z.string(),
  state: z.enum(['live', 'leaving']),
  heartbeat: z.number(),
});

interface Seen {
  readonly instance: RegisteredInstance;
  readonly version: number;
  /** When the heartbeat last rose, by the clock of successful lists. */
  heardAtMs: number;
  isDead: boolean;
}

/**
 * Which instances live, by their registrations in the store.
 *
 * Heartbeats age only while lists succeed: without the store nobody can tell a dead instance from
 * one that cannot write either, so the last view stands.
 */
export class InstanceRegistry implements Disposable {
  readonly #options: InstanceRegistryOptions;
  readonly #stop = new AbortController();
  readonly #seen = new Map<InstanceId, Seen>();
  #state: 'live' | 'leaving' = 'live';
  #heartbeat = 0;
  #listClockMs = 0;
  #listedAtMs: number | undefined;

  constructor(options: InstanceRegistryOptions) {
    this.#options = options;
  }

  /** Instances that callers may use, this one included while it does not leave. */
  live(): readonly RegisteredInstance[] {
    const { self } = this.#options;
    const others = [...this.#seen.values()]
      .filter(({ instance, isDead }) => !isDead && instance.state === 'live')
      .map(({ instance }) => instance)
      .filter(({ instanceId }) => instanceId !== self.instanceId);
    if (this.#state === 'leaving') return others;
    return [{ ...self, state: 'live', heartbeat: this.#heartbeat }, ...others];
  }

  /** How many instances share what is shared, this one included; at least 1. */
  count(): number {
    return Math.max(1, this.live().length);
  }

  /** How long ago the store's list was read, in milliseconds; undefined before it ever was. */
  get listAgeMs(): number | undefined {
    if (this.#listedAtMs === undefined) return undefined;
    return this.#options.clock.monotonicMs() - this.#listedAtMs;
  }

  /** Registers and follows the others until disposed of. */
  async run(): Promise<void> {
    await Promise.all([this.#beat(), this.#follow()]);
  }

  /** Tells the others that this instance leaves. */
  async leave(): Promise<void> {
    this.#state = 'leaving';
    await this.#register();
  }

  /** Removes this instance's registration. */
  async remove(): Promise<void> {
    this.#stop.abort();
    const stored = await this.#options.store.read(this.#key);
    if (stored !== undefined) await this.#options.store.remove(stored.key, stored.version);
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
  }

  get #key(): string {
    return `${registrationPrefix}${this.#options.self.instanceId}`;
  }

  async #beat(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        await this.#register();
      } catch {
        // The follower of the configuration tells of a store that is away; the next beat is soon.
      }
      await clock.sleep(heartbeatMs, this.#stop.signal);
    }
  }

  async #register(): Promise<void> {
    this.#heartbeat += 1;
    const { store, self } = this.#options;
    const registration = { ...self, state: this.#state, heartbeat: this.#heartbeat };
    await store.write(this.#key, registration, { kind: 'none' });
  }

  async #follow(): Promise<void> {
    const { clock, store } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        const { objects } = await store.snapshot(registrationPrefix, { isStaleAllowed: true });
        this.#take(objects);
        this.#options.onTry?.(true);
      } catch {
        // Without a list the last view stands; see the class comment.
        this.#options.onTry?.(false);
      }
      await clock.sleep(listMs, this.#stop.signal);
    }
  }

  #take(objects: readonly StoredObject[]): void {
    this.#advanceListClock();
    const listed = new Set<InstanceId>();
    for (const stored of objects) {
      const parsed = registrationSchema.safeParse(stored.value);
      if (!parsed.success) continue;
      const instance = parsed.data as RegisteredInstance;
      listed.add(instance.instanceId);
      this.#see(instance, stored.version);
    }
    for (const [instanceId, seen] of this.#seen) {
      if (!listed.has(instanceId)) this.#forget(instanceId, seen);
      else this.#judge(seen);
    }
    const { self, onList } = this.#options;
    const known = [...this.#seen.values()].map(({ instance }) => instance);
    onList?.(known.filter(({ instanceId }) => instanceId !== self.instanceId));
  }

  #advanceListClock(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const elapsedMs = nowMs - (this.#listedAtMs ?? nowMs);
    this.#listClockMs += Math.min(elapsedMs, longestListStepMs);
    this.#listedAtMs = nowMs;
  }

  #see(instance: RegisteredInstance, version: number): void {
    const known = this.#seen.get(instance.instanceId);
    // A stale list may show an older registration than one that was seen before.
    if (known !== undefined && version <= known.version) return;
    this.#seen.set(instance.instanceId, {
      instance,
      version,
      heardAtMs: this.#listClockMs,
      isDead: false,
    });
    if (known === undefined || known.isDead) this.#tell(instance.instanceId, 'seen', 0);
    else if (known.instance.state !== instance.state && instance.state === 'leaving') {
      this.#tell(instance.instanceId, 'leaving', 0);
    }
  }

  #judge(seen: Seen): void {
    const { instanceId } = seen.instance;
    if (instanceId === this.#options.self.instanceId) return;
    const ageMs = this.#listClockMs - seen.heardAtMs;
    if (ageMs > deadMs && !seen.isDead) {
      seen.isDead = true;
      this.#tell(instanceId, 'dead', ageMs);
    }
    if (ageMs <= forgottenMs) return;
    seen.heardAtMs = this.#listClockMs;
    const key = `${registrationPrefix}${instanceId}`;
    this.#options.store.remove(key, seen.version).catch(() => {
      // Another instance will see it too and try again.
    });
  }

  #forget(instanceId: InstanceId, seen: Seen): void {
    this.#seen.delete(instanceId);
    this.#tell(instanceId, 'gone', this.#listClockMs - seen.heardAtMs);
  }

  #tell(instanceId: InstanceId, what: MembershipChange['what'], heartbeatAgeMs: number): void {
    this.#options.onChange?.({ instanceId, what, heartbeatAgeMs });
  }
}
