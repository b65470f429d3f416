import type { Clock, FailureDomainId, InstanceId } from '@acaciacrank/base';
import type { ListedInstance, ObjectStore, StoredObject } from '@acaciacrank/store';
import { z } from 'zod';

/** What an instance says of itself in the store. */
export interface Registration {
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
  /** Rises while the instance lives and reaches the store. */
  readonly heartbeat: number;
}

/** Options of {@link Registrations}. */
export interface RegistrationsOptions {
  store: ObjectStore;
  clock: Clock;
  self: Omit<Registration, 'heartbeat' | 'state'>;
  /** Called after each list with the other instances. */
  onList: (others: readonly ListedInstance[]) => void;
  /** Called after each try to list with whether it succeeded. */
  onTry?: (isListed: boolean) => void;
}

/** Where registrations lie in the store. */
export const registrationPrefix = 'instances/';

/** How often this instance writes that it lives, in milliseconds. Each write is a priced call. */
const heartbeatMs = 4_000;
/** How often the list is read, in milliseconds; stale reads cost a tenth. */
const listMs = 1_000;
/**
 * An instance whose heartbeat rose less than this long ago may live though no peer reaches it, in
 * milliseconds. Longer than the 9 s for which the store may turn an instance away.
 */
const mayLiveMs = 12_000;
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
  readonly registration: Registration;
  readonly version: number;
  /** When the heartbeat last rose, by the clock of successful lists. */
  readonly heardAtMs: number;
  /** When it is to be removed for want of heartbeats, by the same clock. */
  removeAtMs: number;
}

/**
 * The instances that are registered in the store: how they find each other and prove themselves.
 *
 * Who is alive is not judged here but by `Membership`, over links: the store may turn an instance
 * away that serves and is reached, and goes on listing one that is gone. A heartbeat only tells that
 * an instance which nobody reaches may live all the same. Heartbeats age only while lists succeed.
 */
export class Registrations implements Disposable {
  readonly #options: RegistrationsOptions;
  readonly #stop = new AbortController();
  readonly #seen = new Map<InstanceId, Seen>();
  #state: 'live' | 'leaving' = 'live';
  #heartbeat = 0;
  #listClockMs = 0;
  #listedAtMs: number | undefined;

  constructor(options: RegistrationsOptions) {
    this.#options = options;
  }

  /** How long ago the store's list was read, in milliseconds; undefined before it ever was. */
  get listAgeMs(): number | undefined {
    if (this.#listedAtMs === undefined) return undefined;
    return this.#options.clock.monotonicMs() - this.#listedAtMs;
  }

  /** The key that proves this instance to a peer; undefined for one that is not registered. */
  keyOf(id: InstanceId): string | undefined {
    return this.#seen.get(id)?.registration.linkKey;
  }

  /** The other instances that may live by what the store told, whether or not anybody reaches them. */
  mayLive(): InstanceId[] {
    return [...this.#seen]
      .filter(([, { heardAtMs }]) => this.#listClockMs - heardAtMs <= mayLiveMs)
      .map(([id]) => id);
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
    const { clock, store, onTry } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        const { objects } = await store.snapshot(registrationPrefix, { isStaleAllowed: true });
        this.#take(objects);
        onTry?.(true);
      } catch {
        // Without a list what is known stands; see the class comment.
        onTry?.(false);
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
      const registration = parsed.data as Registration;
      if (registration.instanceId === this.#options.self.instanceId) continue;
      listed.add(registration.instanceId);
      this.#see(registration, stored.version);
    }
    for (const [instanceId, seen] of this.#seen) {
      if (!listed.has(instanceId)) this.#seen.delete(instanceId);
      else this.#removeForgotten(seen);
    }
    const known = [...this.#seen.values()].map(({ registration }) => registration);
    this.#options.onList(known.map(listedOf));
  }

  #advanceListClock(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const elapsedMs = nowMs - (this.#listedAtMs ?? nowMs);
    this.#listClockMs += Math.min(elapsedMs, longestListStepMs);
    this.#listedAtMs = nowMs;
  }

  #see(registration: Registration, version: number): void {
    const known = this.#seen.get(registration.instanceId);
    // A stale list may show an older registration than one that was seen before.
    if (known !== undefined && version <= known.version) return;
    const heardAtMs = this.#listClockMs;
    const removeAtMs = heardAtMs + forgottenMs;
    this.#seen.set(registration.instanceId, { registration, version, heardAtMs, removeAtMs });
  }

  #removeForgotten(seen: Seen): void {
    if (this.#listClockMs < seen.removeAtMs) return;
    seen.removeAtMs += forgottenMs;
    const key = `${registrationPrefix}${seen.registration.instanceId}`;
    this.#options.store.remove(key, seen.version).catch(() => {
      // Another instance will see it too and try again.
    });
  }
}

function listedOf(registration: Registration): ListedInstance {
  const { instanceId: id, callerAddress, fleetUrl, failureDomain, state } = registration;
  return { id, role: 'entry', url: `http://${callerAddress}`, fleetUrl, failureDomain, state };
}
