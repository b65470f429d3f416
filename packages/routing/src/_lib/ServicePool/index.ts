/**
 * The upstreams of one service: which of them may receive requests, and the sum of their slots.
 */
import type { Upstream } from '../../types.js';
import { CandidateSet } from '../CandidateSet/index.js';

/** Weight of the latest sample in the moving averages. */
const smoothingFactor = 0.05;

/**
 * Decay rate of an upstream's deviation from the mean load, as a multiple of the rate at which requests
 * end.
 */
const differenceDecayFactor = 3;

/** Assumed duration of a request until one has ended, in milliseconds. */
const initialRequestMs = 1_000;

/** Updates its totals incrementally, so that a decision does not iterate over all upstreams. */
export class ServicePool {
  readonly #available = new CandidateSet();
  readonly #live = new Set<Upstream>();
  readonly #slotsByUpstream = new Map<Upstream, number>();
  readonly #firstTokenMs = new Map<number, number>();
  readonly #otherInstancesRequests = new Map<Upstream, number>();
  #totalSlots = 0;
  #totalOtherInstancesRequests = 0;
  #meanRequestMs = initialRequestMs;

  /** Limit for this instance's in-flight requests at all upstreams combined. */
  get slots(): number {
    // The addend makes up for rounding errors of the incrementally updated sum.
    return Math.floor(this.#totalSlots + 1e-9);
  }

  /** The live upstreams. */
  get live(): Upstream[] {
    return [...this.#live];
  }

  /**
   * Returns the upstreams that may receive requests. If none has room, returns the usable ones: a limit
   * may have been lowered after a request was admitted, which must not fail that request. An upstream that
   * requested a backoff is never among them. If none is usable, returns those that have refused requests without reporting that they are leaving: the fault
   * may lie with this instance.
   */
  candidates(): readonly Upstream[] {
    if (this.#available.items.length > 0) return this.#available.items;
    const usable = this.live.filter((upstream) => isUsable(upstream));
    if (usable.length > 0) return usable;
    return this.live.filter(
      ({ health, backoff }) => health.state === 'healthy' && backoff.remainingMs === 0,
    );
  }

  /** Updates the pool after a change of an upstream's state. */
  update(upstream: Upstream): void {
    if (upstream.state === 'live') this.#live.add(upstream);
    else this.#remove(upstream);
    const slots = slotsOf(upstream);
    this.#totalSlots += slots - (this.#slotsByUpstream.get(upstream) ?? 0);
    if (slots > 0) this.#slotsByUpstream.set(upstream, slots);
    else this.#slotsByUpstream.delete(upstream);
    if (hasRoom(upstream)) this.#available.add(upstream);
    else this.#available.remove(upstream);
  }

  /** Records how long a request was in flight. */
  recordRequestDuration(durationMs: number): void {
    this.#meanRequestMs += smoothingFactor * (durationMs - this.#meanRequestMs);
  }

  /**
   * Computes the number of requests to add to a late report. The requests that other instances had there
   * when it was measured end and are followed by requests at other upstreams, and all instances even out
   * the difference that they see, so that it disappears in a fraction of a request's duration. Without
   * the correction, all instances would send to the upstream that was idle at that time.
   *
   * @param otherInstancesRequests - reported requests of other instances
   * @param ageMs - expected age of the report while it is in use
   */
  computeLagCorrection(upstream: Upstream, otherInstancesRequests: number, ageMs: number): number {
    this.#totalOtherInstancesRequests +=
      otherInstancesRequests - (this.#otherInstancesRequests.get(upstream) ?? 0);
    this.#otherInstancesRequests.set(upstream, otherInstancesRequests);
    const mean = this.#totalOtherInstancesRequests / this.#otherInstancesRequests.size;
    const decayedFraction =
      1 - Math.exp((-differenceDecayFactor * ageMs) / Math.max(1, this.#meanRequestMs));
    return decayedFraction * (mean - otherInstancesRequests);
  }

  /** Average time to the first token for a priority, in milliseconds; undefined without samples. */
  averageFirstTokenMs(priority: number): number | undefined {
    return this.#firstTokenMs.get(priority);
  }

  #remove(upstream: Upstream): void {
    this.#live.delete(upstream);
    this.#totalOtherInstancesRequests -= this.#otherInstancesRequests.get(upstream) ?? 0;
    this.#otherInstancesRequests.delete(upstream);
  }

  recordFirstToken(priority: number, elapsedMs: number): void {
    const averageMs = this.#firstTokenMs.get(priority) ?? elapsedMs;
    this.#firstTokenMs.set(priority, averageMs + smoothingFactor * (elapsedMs - averageMs));
  }
}

function isUsable({ state, isSuspect, health, backoff }: Upstream): boolean {
  return state === 'live' && !isSuspect && health.state === 'healthy' && backoff.remainingMs === 0;
}

/**
 * In-flight requests count as slots at every upstream: a request that continues at an ejected or leaving
 * upstream occupies no slot of the others.
 */
function slotsOf(upstream: Upstream): number {
  const { limit, inFlightRequests } = upstream;
  if (isUsable(upstream)) return limit.countedSlots(inFlightRequests);
  return inFlightRequests + (canProbe(upstream) ? 1 : 0);
}

function hasRoom(upstream: Upstream): boolean {
  const { limit, inFlightRequests, backoff } = upstream;
  if (isUsable(upstream)) return backoff.waitMs === 0 && limit.hasRoom(inFlightRequests);
  return canProbe(upstream);
}

/** A probing upstream receives one request at a time until that request has its first token. */
function canProbe({ state, isSuspect, health, backoff }: Upstream): boolean {
  if (state !== 'live' || isSuspect || health.state !== 'probing') return false;
  if (backoff.waitMs > 0) return false;
  return health.unansweredRequests.size === 0;
}
