import type { Clock, FailureDomainId, FeatureId, InstanceId, ServiceName } from '@acaciacrank/base';
import type { ListedInstance, ObjectStore, StoredObject } from '@acaciacrank/store';
import * as z from 'zod';
import { crashReportSchema } from '../messageSchemas/index.js';
import type { RestoreReport } from '../RestoreWitness/index.js';
import type { CrashReportMessage } from '../types.js';

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
  /** What this instance reports about restores of the store; undefined until it has listed the others. */
  readonly restores?: RestoreReport | undefined;
  /** What this instance knows of requests that end upstreams; undefined if it knows nothing. */
  readonly quarantine?: RegisteredQuarantine | undefined;
}

/** What an instance knows of requests that end upstreams. */
export interface RegisteredQuarantine {
  readonly blames: readonly RegisteredBlame[];
  /** Crashes under its requests that no other instance has confirmed. */
  readonly crashes: readonly CrashReportMessage[];
}

/** Features of requests that end the upstreams of a service: one with all of them is sent to none. */
export interface RegisteredBlame {
  readonly service: ServiceName;
  readonly features: readonly FeatureId[];
  readonly crashCount: number;
}

/** Options of {@link Registrations}. */
export interface RegistrationsOptions {
  store: ObjectStore;
  clock: Clock;
  self: Omit<Registration, 'heartbeat' | 'state' | 'restores' | 'quarantine'>;
  /** The own report about restores of the store, to register. */
  restores?: () => RestoreReport | undefined;
  /** What this instance knows of requests that end upstreams, to register. */
  quarantine?: () => RegisteredQuarantine | undefined;
  /** Called with what a run of another instance has registered of them, each time that it has written. */
  onQuarantine?: (run: string, quarantine: RegisteredQuarantine) => void;
  /** Called with all registrations of other instances after each successful read of the list. */
  onRegistrations?: (others: readonly RegisteredRun[]) => void;
  /** Called with the other instances after each successful read of the list. */
  onList: (others: readonly ListedInstance[]) => void;
  /** Called after each attempt to read the list, with whether it succeeded. */
  onListAttempt?: (isListed: boolean) => void;
}

/** The run of another instance, as its registration shows it. */
export interface RegisteredRun extends Pick<Registration, 'instanceId' | 'runId' | 'restores'> {
  /** Whether its heartbeat rose recently. */
  readonly isPossiblyRunning: boolean;
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

/** How long an entry that an older copy lacks is kept, so that its instance can register again, in ms. */
const reregistrationMs = 3 * heartbeatIntervalMs;

/** Number of replaced runs that are remembered; more than restart within the age of a copy. */
const maxFormerRuns = 1_024;

const registeredBlameSchema = z.object({
  service: z.string(),
  features: z.array(z.string()).min(1),
  crashCount: z.number(),
});

const registrationSchema = z.object({
  instanceId: z.string(),
  runId: z.string(),
  callerAddress: z.string(),
  failureDomain: z.string(),
  fleetUrl: z.string(),
  linkKey: z.string(),
  state: z.enum(['live', 'leaving']),
  heartbeat: z.number(),
  restores: z
    .object({
      firstEpoch: z.number().optional(),
      accountedEpoch: z.number(),
      witnessedEpoch: z.number(),
    })
    .optional(),
  quarantine: z
    .object({ blames: z.array(registeredBlameSchema), crashes: z.array(crashReportSchema) })
    .optional(),
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
  /** Ids of runs that a later run of the same instance has replaced. */
  readonly #formerRuns = new Set<string>();
  #state: 'live' | 'leaving' = 'live';
  #heartbeat = 0;
  #listClockMs = 0;
  #listedAtMs: number | undefined;
  /** When the store was last seen to have returned from an older copy, on the monotonic clock. */
  #restoredAtMs = -Infinity;
  readonly #epochSubscription: Disposable;

  constructor(options: RegistrationsOptions) {
    this.#options = options;
    const { store } = options;
    this.#epochSubscription = store.epochs.followRestores(() => {
      this.#registerAgain();
    });
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
    // Registered after the first list: its report on restores belongs into the first registration.
    await this.#list();
    await Promise.all([this.#runHeartbeats(), this.#runListing()]);
  }

  /** Writes the registration now, since what it says has changed. */
  async writeNow(): Promise<void> {
    if (this.#heartbeat > 0 && !this.#stop.signal.aborted) await this.#register();
  }

  /** Writes the registration now, and reads those of the others. */
  async exchangeNow(): Promise<void> {
    await this.writeNow();
    if (!this.#stop.signal.aborted) await this.#list();
  }

  /** Marks the registration of this instance as `leaving`. */
  async leave(): Promise<void> {
    this.#state = 'leaving';
    await this.#register();
  }

  /** Removes this instance's registration. */
  async remove(): Promise<void> {
    this[Symbol.dispose]();
    const stored = await this.#options.store.read(this.#key);
    if (stored !== undefined) await this.#options.store.remove(stored.key, stored.version);
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#epochSubscription[Symbol.dispose]();
  }

  /** The store returned from a copy that may lack this registration or hold an older one. */
  #registerAgain(): void {
    if (this.#heartbeat === 0 || this.#stop.signal.aborted) return;
    this.#restoredAtMs = this.#options.clock.monotonicMs();
    this.#register().catch(() => {
      // The next heartbeat writes it.
    });
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
    const restores = this.#options.restores?.();
    const quarantine = this.#options.quarantine?.();
    const written = { state: this.#state, heartbeat: this.#heartbeat, restores, quarantine };
    const registration = { ...self, ...written };
    await store.write(this.#key, registration, { kind: 'none' });
  }

  async #runListing(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(listIntervalMs, this.#stop.signal);
      if (!this.#stop.signal.aborted) await this.#list();
    }
  }

  async #list(): Promise<void> {
    const { store, onListAttempt } = this.#options;
    try {
      const { objects } = await store.snapshot(registrationPrefix, { isStaleAllowed: true });
      this.#applyList(objects);
      onListAttempt?.(true);
    } catch {
      // The last known registrations stay valid; see the class comment.
      onListAttempt?.(false);
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
      if (listed.has(instanceId)) this.#removeIfExpired(seen);
      else if (!this.#mayRegisterAgain) this.#seen.delete(instanceId);
    }
    const known = [...this.#seen.values()].map(({ registration }) => registration);
    this.#options.onRegistrations?.([...this.#seen.values()].map((seen) => this.#toRun(seen)));
    this.#options.onList(known.map(toListedInstance));
  }

  /** Whether instances missing from the list may not have had the time to register again. */
  get #mayRegisterAgain(): boolean {
    return this.#options.clock.monotonicMs() - this.#restoredAtMs < reregistrationMs;
  }

  #toRun({ registration, heartbeatAtMs }: SeenRegistration): RegisteredRun {
    const { instanceId, runId, restores } = registration;
    const isPossiblyRunning = this.#listClockMs - heartbeatAtMs <= possiblyRunningMs;
    return { instanceId, runId, restores, isPossiblyRunning };
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
    // An older copy shows an earlier heartbeat of a run, or a run that is over: neither is a sign of life.
    if (known !== undefined && this.#isFromOlderCopy(known, registration)) {
      this.#seen.set(registration.instanceId, { ...known, version });
      return;
    }
    const heartbeatAtMs = this.#listClockMs;
    const removeAtMs = heartbeatAtMs + registrationExpiryMs;
    if (known !== undefined && known.registration.runId !== registration.runId) {
      this.#rememberFormerRun(known.registration.runId);
    }
    this.#seen.set(registration.instanceId, { registration, version, heartbeatAtMs, removeAtMs });
    const { quarantine, instanceId, runId } = registration;
    if (quarantine !== undefined)
      this.#options.onQuarantine?.(`${instanceId}/${runId}`, quarantine);
  }

  #rememberFormerRun(runId: string): void {
    this.#formerRuns.add(runId);
    const [oldest] = this.#formerRuns;
    if (oldest !== undefined && this.#formerRuns.size > maxFormerRuns) {
      this.#formerRuns.delete(oldest);
    }
  }

  #isFromOlderCopy(known: SeenRegistration, registration: Registration): boolean {
    if (!this.#mayRegisterAgain) return false;
    if (this.#formerRuns.has(registration.runId)) return true;
    const isSameRun = known.registration.runId === registration.runId;
    return isSameRun && registration.heartbeat <= known.registration.heartbeat;
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
