import { millisecondsInSecond, type Random } from '@acaciacrank/base';
import { isServiceSilent } from '../decideHedge/index.js';
import type { UpstreamHealth } from '../UpstreamHealth/index.js';
import type { Upstream } from '../types.js';

/** Options of {@link OutlierDetector}. */
export interface OutlierDetectorOptions {
  /** Adds jitter to ejections, so that instances do not probe an upstream at the same time. */
  random?: Random;
  /** Maximum fraction of a service's upstreams that may be ejected or probing; 0 disables ejection. */
  maxEjectedFraction?: number;
  /** Maximum fraction of a service's upstreams that may be probing; always allows at least one. */
  maxProbingFraction?: number;
  /** Number of consecutive failures that cause an ejection. */
  maxConsecutiveFailures?: number;
  /** A request is overdue if it waits this many times the average time for its first token. */
  silentFactor?: number;
  /** Minimum wait after which a request is overdue, in milliseconds. */
  minSilentMs?: number;
  /** An upstream is slow if its first tokens take this many times the median of its peers. */
  slowFactor?: number;
  /** Duration of the first ejection, in milliseconds; doubles with each further one. */
  baseEjectionMs?: number;
  /** Maximum duration of an ejection before jitter, in milliseconds. */
  maxEjectionMs?: number;
}

/** What the other upstreams of a service show. */
interface PeerEvidence {
  /** Undefined if too few upstreams have had enough first tokens. */
  readonly medianSlowness: number | undefined;
  /** Whether most upstreams are silent at once, which says nothing of any one of them. */
  readonly isSilenceOfMost: boolean;
}

/** Minimum number of first tokens for an upstream to be considered slow. */
const minFirstTokens = 6;
/** Minimum number of peers with enough first tokens for their median to be used. */
const minPeers = 3;
/** Number of first tokens without a failure after which a probing upstream becomes healthy. */
const firstTokensToRecover = 3;
/** A single overdue request causes an ejection after this many times the bound; two after the bound. */
const singleRequestSilenceFactor = 5;
/** Healthy period after which the ejection backoff starts again, in milliseconds. */
const ejectionBackoffResetMs = 60 * millisecondsInSecond;
/** Maximum random increase of an ejection's duration, as a fraction of it. */
const ejectionJitter = 0.5;

/**
 * Ejects slow, failing and silent upstreams of a service and probes them before using them again.
 *
 * Handles upstreams that fail in ways that their load reports do not show. One that accepts requests
 * without ever answering and one that fails fast both report hardly any load, so a choice by load would
 * send them more and more. They are detected by this instance's own requests: consecutive failures, or
 * requests without a first token while no other request there makes progress. At most a fixed fraction is
 * ejected, since the rest must carry the load: if all upstreams fail at once, the cause lies elsewhere. While most
 * upstreams are silent at once, silence is held against none of them.
 */
export class OutlierDetector {
  readonly #options: Required<OutlierDetectorOptions>;

  constructor(options: OutlierDetectorOptions = {}) {
    this.#options = {
      random: () => 0,
      maxEjectedFraction: 0.5,
      maxProbingFraction: 0.1,
      maxConsecutiveFailures: 3,
      silentFactor: 6,
      minSilentMs: millisecondsInSecond,
      slowFactor: 2.5,
      baseEjectionMs: 2 * millisecondsInSecond,
      maxEjectionMs: 60 * millisecondsInSecond,
      ...options,
    };
  }

  /**
   * Updates the health state of all upstreams of one service.
   *
   * @param upstreams - the live upstreams
   * @param nowMs - the time in which this process ran
   * @returns the upstreams whose state has changed
   *
   * @example
   * for (const upstream of detector.evaluate(upstreams, clock.activeMs())) pool.update(upstream);
   */
  evaluate(upstreams: readonly Upstream[], nowMs: number): Upstream[] {
    const medianSlowness = this.#medianSlowness(upstreams);
    const isSilenceOfMost = this.#isSilenceOfMost(upstreams, nowMs);
    const changed: Upstream[] = [];
    let notHealthy = upstreams.filter(({ health }) => health.state !== 'healthy').length;
    let probing = upstreams.filter(({ health }) => health.state === 'probing').length;
    const maxNotHealthy = Math.floor(upstreams.length * this.#options.maxEjectedFraction);
    const maxProbing = Math.max(1, upstreams.length * this.#options.maxProbingFraction);
    for (const upstream of upstreams) {
      const { health } = upstream;
      const previousState = health.state;
      if (previousState === 'healthy' && notHealthy < maxNotHealthy)
        this.#evaluateHealthy(health, { medianSlowness, isSilenceOfMost }, nowMs);
      if (previousState === 'probing')
        this.#evaluateProbing(health, { medianSlowness, isSilenceOfMost }, nowMs);
      if (previousState === 'ejected' && nowMs >= health.ejectedUntilMs && probing < maxProbing) {
        health.reset();
        health.state = 'probing';
      }
      const { state } = health;
      if (state === previousState) continue;
      changed.push(upstream);
      notHealthy += Number(state !== 'healthy') - Number(previousState !== 'healthy');
      probing += Number(state === 'probing') - Number(previousState === 'probing');
    }
    return changed;
  }

  #evaluateHealthy(health: UpstreamHealth, peers: PeerEvidence, nowMs: number): void {
    if (nowMs - health.healthySinceMs > ejectionBackoffResetMs) health.ejections = 0;
    const reason = this.#findEjectionReason(health, peers, minFirstTokens, nowMs);
    if (reason !== undefined) this.#eject(health, reason, nowMs);
  }

  #evaluateProbing(health: UpstreamHealth, peers: PeerEvidence, nowMs: number): void {
    const reason = this.#findEjectionReason(health, peers, firstTokensToRecover, nowMs);
    if (reason !== undefined) {
      this.#eject(health, reason, nowMs);
      return;
    }
    if (health.successes < firstTokensToRecover) return;
    health.state = 'healthy';
    health.healthySinceMs = nowMs;
  }

  #findEjectionReason(
    health: UpstreamHealth,
    { medianSlowness, isSilenceOfMost }: PeerEvidence,
    requiredFirstTokens: number,
    nowMs: number,
  ): UpstreamHealth['reason'] {
    const isProbing = health.state === 'probing';
    const maxFailures = isProbing ? 1 : this.#options.maxConsecutiveFailures;
    if (health.consecutiveFailures >= maxFailures) return 'failing';
    if (!isSilenceOfMost && this.#isSilent(health, isProbing, nowMs)) return 'silent';
    if (medianSlowness === undefined || health.successes < requiredFirstTokens) return undefined;
    const isSlow = health.slowness > medianSlowness * this.#options.slowFactor;
    return isSlow ? 'slow' : undefined;
  }

  /** Progress of any request after an overdue one started shows that the upstream is not silent. */
  #isSilent(health: UpstreamHealth, isProbing: boolean, nowMs: number): boolean {
    const { silentFactor, minSilentMs } = this.#options;
    let overdueRequests = 0;
    for (const { startedMs, averageFirstTokenMs } of health.unansweredRequests) {
      if (health.lastProgressMs >= startedMs) continue;
      const silentAfterMs = Math.max(
        minSilentMs,
        (averageFirstTokenMs ?? minSilentMs) * silentFactor,
      );
      const waitedMs = nowMs - startedMs;
      if (waitedMs > silentAfterMs * singleRequestSilenceFactor) return true;
      if (waitedMs > silentAfterMs) overdueRequests += 1;
    }
    return overdueRequests >= (isProbing ? 1 : 2);
  }

  /** Whether more upstreams are silent than have made progress since the silence began. */
  #isSilenceOfMost(upstreams: readonly Upstream[], nowMs: number): boolean {
    const healthy = upstreams
      .map(({ health }) => health)
      .filter(({ state }) => state === 'healthy');
    const silent = healthy.filter((health) => this.#isSilent(health, false, nowMs));
    const waiting = silent.flatMap(({ unansweredRequests }) => [...unansweredRequests]);
    const sinceMs = Math.min(...waiting.map(({ startedMs }) => startedMs));
    const speaking = healthy.filter(
      (health) => !silent.includes(health) && health.lastProgressMs >= sinceMs,
    );
    return isServiceSilent({ speaking: speaking.length, silent: silent.length });
  }

  #eject(health: UpstreamHealth, reason: UpstreamHealth['reason'], nowMs: number): void {
    const { baseEjectionMs, maxEjectionMs, random } = this.#options;
    const durationMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** health.ejections);
    health.ejections += 1;
    health.state = 'ejected';
    health.reason = reason;
    health.ejectedUntilMs = nowMs + durationMs * (1 + ejectionJitter * random());
  }

  /** Median over the healthy upstreams with enough first tokens; undefined if there are too few. */
  #medianSlowness(upstreams: readonly Upstream[]): number | undefined {
    const known = upstreams
      .filter(({ health }) => health.state === 'healthy' && health.successes >= minFirstTokens)
      .map(({ health }) => health.slowness)
      .sort((a, b) => a - b);
    if (known.length < minPeers) return undefined;
    return known[Math.floor((known.length - 1) / 2)];
  }
}
