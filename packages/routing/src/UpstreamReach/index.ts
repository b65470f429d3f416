import type { Clock, UpstreamId } from '@acaciacrank/base';

/**
 * Whether this instance reaches upstreams: `reached` as far as it knows, `inDoubt` if probes are to show it,
 * `unreached` if they have shown that it does not.
 */
export type ReachState = 'reached' | 'inDoubt' | 'unreached';

/** Number of upstreams that fail at the same time from which the instance itself is in doubt. */
const minFailing = 2;
/** For how long several upstreams, or a single one, have to keep silent, in milliseconds. */
const silenceMs = { several: 300, single: 2_000 } as const;
/** For how long a successful probe answers all doubts, in milliseconds. */
const calmMs = 2_000;
/** Number of successful rounds of probes in a row after which upstreams are reached again. */
const roundsToReturn = 2;

/**
 * Tells an instance that reaches no upstream from upstreams that fail.
 *
 * Each failure alone is held against its upstream, and an instance that is cut off would try one after the other.
 * All of them failing at once, with nothing received from any, points to the instance. Such evidence is passive;
 * it only raises a doubt, and probes answer it.
 *
 * @example
 * reach.recordConnectFailed(upstreamId);
 * if (reach.state === 'inDoubt') reach.recordProbes(await probeSome());
 */
export class UpstreamReach {
  readonly #clock: Clock;
  /**
   * Upstreams with requests that were sent since anything was received, and when the first one was, by the time in
   * which this process ran: after a pause of its own, timers run before what was received is read.
   */
  readonly #waiting = new Map<UpstreamId, number>();
  /** Upstreams to which no connection came about since any did. */
  readonly #unconnected = new Set<UpstreamId>();
  #isUnreached = false;
  #successfulRounds = 0;
  #calmUntilMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get state(): ReachState {
    if (this.#isUnreached) return 'unreached';
    const nowMs = this.#clock.monotonicMs();
    if (nowMs < this.#calmUntilMs) return 'reached';
    return this.#unconnected.size >= minFailing || this.isSilent ? 'inDoubt' : 'reached';
  }

  /** Whether requests were sent to several upstreams, and nothing arrives from any. */
  get isSilent(): boolean {
    const [oldestMs] = this.#waiting.values();
    if (oldestMs === undefined) return false;
    const waitedMs = this.#clock.activeMs() - oldestMs;
    if (this.#waiting.size >= minFailing) return waitedMs >= silenceMs.several;
    return waitedMs >= silenceMs.single;
  }

  /** Records that a request was sent. */
  recordSent(upstreamId: UpstreamId): void {
    if (!this.#waiting.has(upstreamId)) this.#waiting.set(upstreamId, this.#clock.activeMs());
  }

  /** Records that anything was received from an upstream. */
  recordReceived(): void {
    if (this.#waiting.size > 0) this.#waiting.clear();
  }

  /** Records that a connection came about. */
  recordConnected(): void {
    this.#unconnected.clear();
  }

  /** Records that a connection was refused, or was not established in time. */
  recordConnectFailed(upstreamId: UpstreamId): void {
    this.#unconnected.add(upstreamId);
  }

  /**
   * Records the outcome of a round of probes.
   *
   * @param isReached - whether any upstream accepted a connection
   * @returns whether that changed the state
   */
  recordProbes(isReached: boolean): boolean {
    const wasUnreached = this.#isUnreached;
    this.#successfulRounds = isReached ? this.#successfulRounds + 1 : 0;
    const hasReturned = isReached && (!wasUnreached || this.#successfulRounds >= roundsToReturn);
    if (hasReturned) this.#clearDoubts();
    else this.#isUnreached = true;
    return this.#isUnreached !== wasUnreached;
  }

  #clearDoubts(): void {
    this.#isUnreached = false;
    this.#successfulRounds = 0;
    this.#calmUntilMs = this.#clock.monotonicMs() + calmMs;
    this.#waiting.clear();
    this.#unconnected.clear();
  }
}
