import type { Clock, FailureDomainId, InstanceId } from '@acaciacrank/base';
import type { ListedInstance, ObjectStore, StoredObject } from '@acaciacrank/store';
import { z } from 'zod';

/** The registration of an instance, as stored in the object store. */
export interface Registration {
  readonly instanceId: InstanceId;
  readonly runId: string;
  /** `IP:PORT` where callers connect. */
  readonly callerAddress: string;
  readonly failureDomain: FailureDomainId;
  /** `ws://IP:PORT` where peers connect. */
  readonly fleetUrl: string;
  /**
   * Random key, new at each start. A connecting peer must prove that it has read it from the store.
   */
  readonly linkKey: string;
  readonly state: 'live' | 'leaving';
  /** Counter that rises with each write while the instance runs and reaches the store. */
  readonly heartbeat: number;
}

/** Options of {@link Registrations}. */
export interface RegistrationsOptions {
  store: ObjectStore;
  clock: Clock;
  self: Omit<Registration, 'heartbeat' | 'state'>;
  /** Called with the other instances after each successful read of the list. */
  onList: (others: readonly ListedInstance[]) => void;
  /** Called after each attempt to read the list, with whether it succeeded. */
  onListAttempt?: (isListed: boolean) => void;
}

/** Key prefix of registrations in the store. */
export const registrationPrefix = 'instances/';

/** Interval between heartbeat writes, in milliseconds. Each write is a billed store call. */
const heartbeatIntervalMs = 4_000;
/**
 * Interval between reads of the list, in milliseconds; stale reads cost a tenth of current ones.
 */
const listIntervalMs = 1_000;
/**
 * An instance whose heartbeat rose within this time may be running even if no peer reaches it, in
 * milliseconds. Longer than the 9 s for which the store may reject calls of an instance.
 */
const possiblyRunningMs = 12_000;
/**
 * Any instance removes a registration whose heartbeat has not risen for this long, in milliseconds.
 */
const registrationExpiryMs = 120_000;
/**
 * Maximum time by which one read of the list advances the age of heartbeats, in milliseconds. After an
 * outage of the store the heartbeats then do not all count as overdue at once.
 */
const maxListClockStepMs = 1_500;

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

interface SeenRegistration {
  readonly registration: Registration;
  readonly version: number;
  /** When the heartbeat last rose, on the list clock, which advances only with successful reads. */
  readonly heartbeatAtMs: number;
  /** When the registration expires unless the heartbeat rises, on the same clock. */
  removeAtMs: number;
}

/**
 * Registers this instance in the store and lists the others, for discovery and link keys.
 *
 * Failure detection is not done here but by `Membership`, over links: the store may reject calls of
 * an instance that serves requests and is reachable by peers, and still lists one that is gone. A
 * heartbeat only shows that an instance no peer reaches may still be running. Heartbeats age only
 * while the list can be read.
 */
export class Registrations implements Disposable {
  readonly #options: RegistrationsOptions;
  readonly #stop = new AbortController();
  readonly #seen = new Map<InstanceId, SeenRegistration>();
  #state: 'live' | 'leaving' = 'live';
  #heartbeat = 0;
  #listClockMs = 0;
  #listedAtMs: number | undefined;

  constructor(options: RegistrationsOptions) {
    this.#options = options;
  }

  /**
   * Time since the last successful read of the list, in milliseconds; undefined before the first.
   */
  get listAgeMs(): number | undefined {
    if (this.#listedAtMs === undefined) return undefined;
    return this.#options.clock.monotonicMs() - this.#listedAtMs;
  }

  /**
   * The key that authenticates this instance to a peer; undefined when the peer is not registered.
   */
  linkKeyOf(id: InstanceId): string | undefined {
    return this.#seen.get(id)?.registration.linkKey;
  }

  /**
   * Other instances that may be running according to their heartbeats, whether or not reachable.
   */
  possiblyRunning(): InstanceId[] {
    return [...this.#seen]
      .filter(([, { heartbeatAtMs }]) => this.#listClockMs - heartbeatAtMs <= possiblyRunningMs)
      .map(([id]) => id);
  }

  /** Writes heartbeats and reads the list until disposed of. */
  async run(): Promise<void> {
    await Promise.all([this.#runHeartbeats(), this.#runListing()]);
  }

  /** Marks the registration of this instance as `leaving`. */
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

  async #runHeartbeats(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        await this.#register();
      } catch {
        // The configuration follower reports an unavailable store; the next heartbeat retries soon.
      }
      await clock.sleep(heartbeatIntervalMs, this.#stop.signal);
    }
  }

  async #register(): Promise<void> {
    this.#heartbeat += 1;
    const { store, self } = this.#options;
    const registration = { ...self, state: this.#state, heartbeat: this.#heartbeat };
    await store.write(this.#key, registration, { kind: 'none' });
  }

  async #runListing(): Promise<void> {
    const { clock, store, onListAttempt } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        const { objects } = await store.snapshot(registrationPrefix, { isStaleAllowed: true });
        this.#applyList(objects);
        onListAttempt?.(true);
      } catch {
        // The last known registrations stay valid; see the class comment.
        onListAttempt?.(false);
      }
      await clock.sleep(listIntervalMs, this.#stop.signal);
    }
  }

  #applyList(objects: readonly StoredObject[]): void {
    this.#advanceListClock();
    const listed = new Set<InstanceId>();
    for (const stored of objects) {
      const parsed = registrationSchema.safeParse(stored.value);
      if (!parsed.success) continue;
      const registration = parsed.data as Registration;
      if (registration.instanceId === this.#options.self.instanceId) continue;
      listed.add(registration.instanceId);
      this.#updateSeen(registration, stored.version);
    }
    for (const [instanceId, seen] of this.#seen) {
      if (!listed.has(instanceId)) this.#seen.delete(instanceId);
      else this.#removeIfExpired(seen);
    }
    const known = [...this.#seen.values()].map(({ registration }) => registration);
    this.#options.onList(known.map(toListedInstance));
  }

  #advanceListClock(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const elapsedMs = nowMs - (this.#listedAtMs ?? nowMs);
    this.#listClockMs += Math.min(elapsedMs, maxListClockStepMs);
    this.#listedAtMs = nowMs;
  }

  #updateSeen(registration: Registration, version: number): void {
    const known = this.#seen.get(registration.instanceId);
    // A stale read may return an older version than one already seen.
    if (known !== undefined && version <= known.version) return;
    const heartbeatAtMs = this.#listClockMs;
    const removeAtMs = heartbeatAtMs + registrationExpiryMs;
    this.#seen.set(registration.instanceId, { registration, version, heartbeatAtMs, removeAtMs });
  }

  #removeIfExpired(seen: SeenRegistration): void {
    if (this.#listClockMs < seen.removeAtMs) return;
    seen.removeAtMs += registrationExpiryMs;
    const key = `${registrationPrefix}${seen.registration.instanceId}`;
    this.#options.store.remove(key, seen.version).catch(() => {
      // This instance or another one tries again later.
    });
  }
}

function toListedInstance(registration: Registration): ListedInstance {
  const { instanceId: id, callerAddress, fleetUrl, failureDomain, state } = registration;
  return { id, role: 'entry', url: `http://${callerAddress}`, fleetUrl, failureDomain, state };
}
