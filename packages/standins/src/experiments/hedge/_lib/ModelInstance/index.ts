import type { Clock, Random, ServiceName } from '@acaciacrank/base';
import {
  decideHedge,
  isSilent,
  measureSilence,
  RetryShare,
  type ServiceSilence,
  type UpstreamActivity,
} from '@acaciacrank/routing';
import { ModelStream } from '../ModelStream/index.js';
import type { ModelUpstream } from '../ModelUpstream/index.js';

/**
 * What is done when nothing has arrived from an upstream for a while: abort the attempt, then request another one; keep
 * it and decide on a second one beside it; or the same without the rule for a silence of most upstreams.
 */
export type SilencePolicy = 'abortThenAsk' | 'hedge' | 'hedgeWithoutPanicThreshold';

/** Options of {@link ModelInstance}. */
export interface ModelInstanceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly policy: SilencePolicy;
  readonly upstreams: readonly ModelUpstream[];
  readonly instanceCount: number;
}

/** Bounds of the users' platform, in milliseconds unless they say otherwise. */
const bounds = {
  inactivityMs: 1_000,
  silenceLimitMs: 500,
  maxSends: 2,
  deadlineMs: 10_000,
  failuresToEject: 2,
  ejectionMs: 1_000,
  maxEjectionMs: 8_000,
} as const;
const retryOptions = { retriesPerRequest: 0.2, additionalRetries: 58, windowMs: 10_000 } as const;
/** Time from the send to the first event and between two events, and the number of events. */
const pace = { firstEventMs: 60, eventMs: 100, events: 12 } as const;
const service = 'tutor' as ServiceName;
const allSpeak: ServiceSilence = { speaking: Infinity, silent: 0 };

interface ModelAttempt {
  readonly stream: ModelStream;
  readonly state: UpstreamState;
  lastReceivedMs: number;
  hasEnded: boolean;
  isProbe: boolean;
}

/** What the instance knows of an upstream. */
interface UpstreamState {
  readonly upstream: ModelUpstream;
  readonly attempts: Set<ModelAttempt>;
  lastReceivedMs: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
}

/** An instance that relays streams, with the retry budget and the decisions of the real one. */
export class ModelInstance {
  readonly streams: ModelStream[] = [];
  readonly #options: ModelInstanceOptions;
  readonly #retries: RetryShare;
  readonly #states: readonly UpstreamState[];
  #probes = 0;

  constructor(options: ModelInstanceOptions) {
    this.#options = options;
    const { clock, instanceCount } = options;
    this.#retries = new RetryShare({ ...retryOptions, clock, instanceCount: () => instanceCount });
    this.#states = options.upstreams.map((upstream) => ({
      upstream,
      attempts: new Set(),
      lastReceivedMs: -Infinity,
      failures: 0,
      ejections: 0,
      ejectedUntilMs: -Infinity,
    }));
  }

  /** Begins a stream at an upstream. */
  begin(): void {
    const { clock } = this.#options;
    const stream = new ModelStream(this.#nowMs);
    this.streams.push(stream);
    this.#retries.recordRequest(service);
    clock.schedule(bounds.deadlineMs, () => {
      this.#end(stream, 'late');
    });
    this.#send(stream, this.#candidates(stream));
  }

  /** Records that upstreams have begun to fail; of connections that are reset the instance is informed at once. */
  applyFault(isReset: boolean): void {
    const affected = this.#states
      .filter(({ upstream }) => upstream.isAffected)
      .flatMap(({ attempts }) => [...attempts]);
    for (const attempt of affected) attempt.stream.isAffected = true;
    if (isReset) for (const attempt of affected) this.#replace(attempt);
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** The upstreams that a stream may be sent to: those that are in order, or any if none is. */
  #candidates(stream: ModelStream): readonly UpstreamState[] {
    const untried = this.#states.filter(({ upstream }) => !stream.attempted.has(upstream.id));
    const inOrder = untried.filter((state) => !this.#isEjected(state));
    return inOrder.length > 0 ? inOrder : untried;
  }

  #isEjected(state: UpstreamState): boolean {
    const isUnresponsive = isSilent(this.#activityOf(state), bounds.inactivityMs);
    return this.#nowMs < state.ejectedUntilMs || isUnresponsive;
  }

  #activityOf({ lastReceivedMs, attempts }: UpstreamState): UpstreamActivity {
    const oldestMs = Math.min(this.#nowMs, ...[...attempts].map((one) => one.lastReceivedMs));
    return { sinceReceivedMs: this.#nowMs - lastReceivedMs, longestWaitMs: this.#nowMs - oldestMs };
  }

  #send(stream: ModelStream, candidates: readonly UpstreamState[]): ModelAttempt | undefined {
    const state = candidates[Math.floor(this.#options.random() * candidates.length)];
    if (state === undefined) {
      if (this.#attemptsOf(stream).length === 0) this.#end(stream, 'cut');
      return undefined;
    }
    const { upstream } = state;
    stream.attempted.add(upstream.id);
    stream.isAffected ||= upstream.isAffected && upstream.holdMs(this.#nowMs) > 0;
    const lastReceivedMs = this.#nowMs;
    const attempt = { stream, state, lastReceivedMs, hasEnded: false, isProbe: false };
    state.attempts.add(attempt);
    this.#scheduleEvent(attempt, pace.firstEventMs);
    this.#watch(attempt);
    return attempt;
  }

  #scheduleEvent(attempt: ModelAttempt, delayMs: number): void {
    this.#options.clock.schedule(delayMs, () => {
      if (attempt.hasEnded) return;
      const holdMs = attempt.state.upstream.holdMs(this.#nowMs);
      if (holdMs === 0) this.#receive(attempt);
      else if (holdMs < Infinity) this.#scheduleEvent(attempt, holdMs);
    });
  }

  #receive(attempt: ModelAttempt): void {
    const { stream, state } = attempt;
    attempt.lastReceivedMs = this.#nowMs;
    state.lastReceivedMs = this.#nowMs;
    state.failures = 0;
    state.ejections = 0;
    stream.recordEvent(this.#nowMs);
    for (const other of this.#attemptsOf(stream)) if (other !== attempt) this.#abort(other);
    if (stream.events >= pace.events) this.#end(stream, 'whole');
    else this.#scheduleEvent(attempt, pace.eventMs);
  }

  /** Calls the policy each time that nothing has arrived for the limit. */
  #watch(attempt: ModelAttempt, sinceMs = attempt.lastReceivedMs): void {
    const dueMs = sinceMs + bounds.inactivityMs - this.#nowMs;
    this.#options.clock.schedule(dueMs, () => {
      if (attempt.hasEnded) return;
      if (attempt.lastReceivedMs > sinceMs) {
        this.#watch(attempt);
        return;
      }
      if (this.#options.policy === 'abortThenAsk') this.#replace(attempt);
      else this.#hedge(attempt.stream);
      if (!attempt.hasEnded) this.#watch(attempt, this.#nowMs);
    });
  }

  /** Aborts an attempt, then requests another one. */
  #replace(attempt: ModelAttempt): void {
    const { stream } = attempt;
    this.#abort(attempt);
    if (this.#attemptsOf(stream).length > 0) return;
    const candidates = this.#candidates(stream);
    const isAllowed = stream.attempted.size < bounds.maxSends && candidates.length > 0;
    if (isAllowed && this.#retries.tryRetry(service)) this.#send(stream, candidates);
    else this.#end(stream, 'cut');
  }

  /** Sends the stream to a second upstream beside the silent one if that is allowed. */
  #hedge(stream: ModelStream): void {
    const speaking = this.#candidates(stream).filter(
      (state) => !isSilent(this.#activityOf(state), bounds.silenceLimitMs),
    );
    const decision = decideHedge({
      isRepeatable: true,
      endCount: 0,
      sends: stream.attempted.size,
      maxSends: bounds.maxSends,
      hasCandidate: () => speaking.length > 0,
      silence: () => this.#silence,
      probes: this.#probes,
    });
    if (decision !== 'hedge' && decision !== 'probe') return;
    if (!this.#retries.tryRetry(service)) return;
    const attempt = this.#send(stream, speaking);
    if (attempt === undefined || decision !== 'probe') return;
    attempt.isProbe = true;
    this.#probes += 1;
  }

  get #silence(): ServiceSilence {
    if (this.#options.policy === 'hedgeWithoutPanicThreshold') return allSpeak;
    const activities = this.#states.map((state) => this.#activityOf(state));
    return measureSilence(activities, bounds.silenceLimitMs);
  }

  /** Ends an attempt, which counts against an upstream that was silent or lost the connection. */
  #abort(attempt: ModelAttempt): void {
    const { state, lastReceivedMs } = attempt;
    this.#finish(attempt);
    if (this.#nowMs - lastReceivedMs < bounds.inactivityMs) return;
    state.failures += 1;
    if (state.failures < bounds.failuresToEject) return;
    const ejectionMs = bounds.ejectionMs * 2 ** state.ejections;
    state.ejectedUntilMs = this.#nowMs + Math.min(bounds.maxEjectionMs, ejectionMs);
    state.ejections += 1;
  }

  #finish(attempt: ModelAttempt): void {
    attempt.hasEnded = true;
    attempt.state.attempts.delete(attempt);
    if (attempt.isProbe) this.#probes -= 1;
  }

  #end(stream: ModelStream, end: 'whole' | 'cut' | 'late'): void {
    stream.end ??= end;
    for (const attempt of this.#attemptsOf(stream)) this.#finish(attempt);
  }

  #attemptsOf(stream: ModelStream): readonly ModelAttempt[] {
    return this.#states.flatMap(({ attempts }) =>
      [...attempts].filter((attempt) => attempt.stream === stream),
    );
  }
}
