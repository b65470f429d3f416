import { RouterError, type ManualClock } from '@acaciacrank/base';
import type { FaultKind, PlannedFault, Step } from '../types.js';
import { UpstreamPause, type PausedPeer } from '../_lib/UpstreamPause/index.js';

/** Delay of a slow call, in milliseconds. */
const slowCallMs = 4_000;
/** Timeout of a platform client for a call without a response, in milliseconds. */
const clientTimeoutMs = 3_000;
/** Duration of a store outage or a partition, in milliseconds. */
const outageMs = 45_000;
/** Duration of a process pause, in milliseconds; longer than the validity of a grant or a lease. */
const pauseMs = 200_000;

/** Duration of a pause of all upstreams, after which they continue, in milliseconds. */
const upstreamPauseMs = 3_000;

/** One intercepted call, and how it fails. */
export interface InterceptedCall<Value> {
  readonly actor: string;
  readonly call: string;
  /** Whether the call goes to the platform (object store or instance list). */
  readonly isPlatform: boolean;
  /** Whether this is a recurring call (poll or watch): faults affect it, but it is not counted as a step. */
  readonly isBackground?: boolean;
  /** Performs the call. */
  readonly effect: () => Promise<Value>;
  /** Creates the error that the caller gets when the response is lost. */
  readonly lostResponseError: () => Error;
  /** Aborts the wait for a response that never arrives. */
  readonly signal?: AbortSignal;
  /** Silence epoch in which the connection of the call was opened; by default the epoch at its start. */
  readonly openedInEpoch?: number;
}

/**
 * Fault injector that every external call of every actor (instance or operator) passes through. It
 * counts calls as steps and injects faults at the planned steps.
 */
export class FaultInjector {
  readonly steps: Step[] = [];
  readonly #clock: ManualClock;
  readonly #plan: readonly PlannedFault[];
  readonly #crashed = new Set<string>();
  readonly #crashPromises = new Map<string, Promise<void>>();
  readonly #onCrash = new Map<string, () => void>();
  readonly #pausedUntilMs = new Map<string, number>();
  readonly #cutOffUntilMs = new Map<string, number>();
  readonly #silenceEpochs = new Map<string, number>();
  readonly #responsesToLose = new Map<string, number>();
  #storeDownUntilMs = -1;
  readonly #upstreams: UpstreamPause;
  #isCounting = false;

  constructor(clock: ManualClock, plan: readonly PlannedFault[]) {
    this.#clock = clock;
    this.#plan = plan;
    this.#upstreams = new UpstreamPause(clock);
  }

  /** Whether any actor has been paused so far. */
  get hasPaused(): boolean {
    return this.#pausedUntilMs.size > 0;
  }

  /** Starts to count steps; earlier calls belong to the set-up. */
  startCounting(): void {
    this.#isCounting = true;
  }

  /** Whether all planned faults are pauses of upstreams, so that no request may fail. */
  get hasOnlyUpstreamPauses(): boolean {
    return this.#plan.length > 0 && this.#plan.every(({ fault }) => fault === 'upstreamsPause');
  }

  /** Whether an actor has crashed. */
  hasCrashed(actor: string): boolean {
    return this.#crashed.has(actor);
  }

  /** Settles when an actor crashes. */
  whenCrashed(actor: string): Promise<void> {
    const known = this.#crashPromises.get(actor);
    if (known !== undefined) return known;
    if (this.hasCrashed(actor)) return Promise.resolve();
    const crash = new Promise<void>((resolve) => {
      this.#onCrash.set(actor, resolve);
    });
    this.#crashPromises.set(actor, crash);
    return crash;
  }

  /** Whether an actor is cut off from the platform and from its peers. */
  isCutOff(actor: string): boolean {
    return (this.#cutOffUntilMs.get(actor) ?? -1) > this.#clock.monotonicMs();
  }

  /** Whether an actor is running and connected: neither crashed, paused nor cut off. */
  isAvailable(actor: string): boolean {
    const isPaused = this.pausedUntilMs(actor) > this.#clock.monotonicMs();
    return !this.hasCrashed(actor) && !isPaused && !this.isCutOff(actor);
  }

  /** When a paused actor resumes, by the monotonic clock, in milliseconds; in the past if it is not paused. */
  pausedUntilMs(actor: string): number {
    return this.#pausedUntilMs.get(actor) ?? -1;
  }

  /** Crashes an actor: its pending calls never return and its timers no longer fire. */
  crash(actor: string): void {
    this.#crashed.add(actor);
    this.#onCrash.get(actor)?.();
  }

  /** Pauses an actor, or extends its pause. */
  pause(actor: string, durationMs: number): void {
    this.#pausedUntilMs.set(actor, this.#clock.monotonicMs() + durationMs);
  }

  /** Cuts an actor off from the platform and from its peers. */
  cutOff(actor: string, durationMs: number): void {
    this.#cutOffUntilMs.set(actor, this.#clock.monotonicMs() + durationMs);
  }

  /** Makes the platform unavailable to all actors. */
  startStoreOutage(durationMs: number): void {
    this.#storeDownUntilMs = this.#clock.monotonicMs() + durationMs;
  }

  /** Pauses all upstreams of a kind, or all: their connections stay open, and what is sent arrives afterwards. */
  pauseUpstreams(durationMs: number, peer: PausedPeer = 'all'): void {
    this.#upstreams.begin(durationMs, peer);
  }

  /** Loses the responses of an actor's next store writes; the writes themselves take effect. */
  loseWriteResponses(actor: string, count: number): void {
    this.#responsesToLose.set(actor, count);
  }

  /**
   * Makes all open connections of an actor to one kind of peer permanently silent; new ones work.
   *
   * @param peer - `store`, `engine` or `service`
   */
  silenceOpenConnections(actor: string, peer: string): void {
    this.#silenceEpochs.set(`${actor}>${peer}`, this.silenceEpoch(actor, peer) + 1);
  }

  /**
   * Epoch that {@link silenceOpenConnections} increments; separates connections opened before a silence
   * from later ones.
   *
   * @param call - a peer, or one of its operations such as `store.write`
   */
  silenceEpoch(actor: string, call: string): number {
    return this.#silenceEpochs.get(`${actor}>${call.split('.')[0] ?? ''}`) ?? 0;
  }

  /** Performs one call under the planned and active faults. */
  async call<Value>(intercepted: InterceptedCall<Value>): Promise<Value> {
    await this.#untilResumed(intercepted.actor);
    const fault = intercepted.isBackground === true ? undefined : this.#countStep(intercepted);
    this.#startFault(fault, intercepted.actor);
    if (fault === 'slow') await this.#clock.sleep(slowCallMs, intercepted.signal);
    await this.#untilResumed(intercepted.actor);
    if (fault === 'silent') return this.#failAfterTimeout(intercepted);
    if (this.#isUnreachable(intercepted)) throw await this.#unreachableError();
    const openedInEpoch =
      intercepted.openedInEpoch ?? this.silenceEpoch(intercepted.actor, intercepted.call);
    const value = await this.#upstreams.call(intercepted);
    if (openedInEpoch < this.silenceEpoch(intercepted.actor, intercepted.call))
      return this.#failAfterTimeout(intercepted);
    if (fault === 'crashAfter') this.crash(intercepted.actor);
    await this.#untilResumed(intercepted.actor);
    if (fault === 'answerLost' || this.#losesResponse(intercepted))
      throw intercepted.lostResponseError();
    return value;
  }

  #losesResponse({ actor, call }: { actor: string; call: string }): boolean {
    const remaining = call === 'store.write' ? (this.#responsesToLose.get(actor) ?? 0) : 0;
    if (remaining > 0) this.#responsesToLose.set(actor, remaining - 1);
    return remaining > 0;
  }

  #countStep(intercepted: { actor: string; call: string }): FaultKind | undefined {
    if (!this.#isCounting) return undefined;
    const index = this.steps.length;
    this.steps.push({ actor: intercepted.actor, call: intercepted.call });
    return this.#plan.find((planned) => planned.step === index)?.fault;
  }

  #startFault(fault: FaultKind | undefined, actor: string): void {
    if (fault === 'crashBefore') this.crash(actor);
    if (fault === 'pause') this.pause(actor, pauseMs);
    if (fault === 'storeDown') this.startStoreOutage(outageMs);
    if (fault === 'upstreamsPause') this.pauseUpstreams(upstreamPauseMs);
    if (fault === 'partition') this.cutOff(actor, outageMs);
  }

  #isUnreachable(intercepted: { actor: string; isPlatform: boolean }): boolean {
    if (!intercepted.isPlatform) return false;
    return this.#storeDownUntilMs > this.#clock.monotonicMs() || this.isCutOff(intercepted.actor);
  }

  async #unreachableError(): Promise<Error> {
    await this.#clock.sleep(50);
    return new RouterError('storeUnavailable', 'the platform did not answer');
  }

  /**
   * Fails a call that gets no response: after the client's timeout if it goes to the platform, after
   * `pauseMs` if it goes to an upstream, and earlier if it is aborted.
   */
  async #failAfterTimeout<Value>(intercepted: InterceptedCall<Value>): Promise<Value> {
    await this.#clock.sleep(intercepted.isPlatform ? clientTimeoutMs : pauseMs, intercepted.signal);
    await this.#untilResumed(intercepted.actor);
    throw intercepted.lostResponseError();
  }

  /** Waits until an actor is not paused; never settles if the actor has crashed. */
  async #untilResumed(actor: string): Promise<void> {
    if (this.hasCrashed(actor)) await new Promise<never>(() => undefined);
    const waitMs = this.pausedUntilMs(actor) - this.#clock.monotonicMs();
    if (waitMs <= 0) return;
    await this.#clock.sleep(waitMs);
    await this.#untilResumed(actor);
  }
}
