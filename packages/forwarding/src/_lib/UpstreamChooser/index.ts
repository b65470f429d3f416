/**
 * Chooses the upstreams that one request is sent to, each at most once; where it could not be sent is tried again later.
 */
import type { Clock, FailureDomainId, Random, UpstreamId } from '@acaciacrank/base';
import { isSilent, mayContinueStream } from '@acaciacrank/routing';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import { reconnectDelayMs, silenceLimitMs } from '../limits/index.js';
import type { PrefillTimeModels } from '../PrefillTimeModels/index.js';
import type { PromptPartLocations } from '../PromptPartLocations/index.js';
import { lastSharedPart, pickUpstream, type UpstreamPick } from '../pickUpstream/index.js';
import type { Upstream } from '../Upstream/index.js';

/** Dependencies of {@link UpstreamChooser}. */
export interface UpstreamChooserDependencies {
  readonly clock: Clock;
  readonly upstreams: UpstreamTable;
  readonly ownDomain: FailureDomainId;
  readonly promptPartLocations: PromptPartLocations;
  readonly models: PrefillTimeModels;
  readonly random: Random;
}

/** Chooses among the upstreams of a request's service that it has not been sent to. */
export class UpstreamChooser {
  readonly #dependencies: UpstreamChooserDependencies;
  readonly #call: ForwardCall;
  readonly #attemptedIds = new Set<UpstreamId>();
  /** When it could not be sent, by upstream. */
  readonly #unsentAtMs = new Map<UpstreamId, number>();

  constructor(dependencies: UpstreamChooserDependencies, call: ForwardCall) {
    this.#dependencies = dependencies;
    this.#call = call;
  }

  /** Whether the request was sent to any upstream, or an attempt to do so was made. */
  get hasAttempted(): boolean {
    return this.#attemptedIds.size + this.#unsentAtMs.size > 0;
  }

  /** The upstreams of the service that the request may be sent to, by their software. */
  get usable(): readonly Upstream[] {
    const { upstreams } = this.#dependencies;
    return this.#filterSuitable(upstreams.usable(this.#call.service.name));
  }

  /** Whether there is an upstream for a further attempt. */
  get hasNext(): boolean {
    return this.usable.some((upstream) => this.#isOpen(upstream));
  }

  /** Whether there is an upstream for an attempt beside one that is silent. */
  get hasHedge(): boolean {
    const isHedge = (upstream: Upstream) => this.#isHedge(upstream);
    return this.#near.some(isHedge) || this.usable.some(isHedge);
  }

  /** Records that the request is about to be sent to an upstream. */
  recordAttempt(upstream: Upstream): void {
    this.#attemptedIds.add(upstream.id);
  }

  /**
   * Records that the request could not be sent to an upstream.
   *
   * Guards against a request that fails with the one upstream that took it, since others had refused its connections
   * before: they may have started again meanwhile.
   */
  recordUnsent(upstream: Upstream): void {
    this.#attemptedIds.delete(upstream.id);
    this.#unsentAtMs.set(upstream.id, this.#dependencies.clock.monotonicMs());
  }

  /** Chooses an upstream; undefined if there is none left. */
  pick(): UpstreamPick | undefined {
    const near = this.#near;
    const all = this.usable;
    const pick = this.#pickProven(near);
    return pick ?? (near.length < all.length ? this.#pickProven(all) : undefined);
  }

  /** Chooses an upstream for an attempt beside one that is silent: one that is not silent itself. */
  pickHedge(): UpstreamPick | undefined {
    const isHedge = (upstream: Upstream) => this.#isHedge(upstream);
    return (
      this.#pickProven(this.#near.filter(isHedge)) ?? this.#pickProven(this.usable.filter(isHedge))
    );
  }

  /** Chooses one upstream that is given, if it may be used. */
  pickOnly(id: UpstreamId): UpstreamPick | undefined {
    const upstream = this.#dependencies.upstreams.get(id);
    return upstream && this.#pickFrom([upstream]);
  }

  /**
   * The upstreams for a request that may end them, those with the fewest requests first, so that the least is lost
   * with one; what ran beside such a request parts from it.
   */
  rankApart(): readonly UpstreamId[] {
    const nowMs = this.#dependencies.clock.monotonicMs();
    return this.usable
      .filter((upstream) => this.#isOpen(upstream))
      .sort((a, b) => costApart(a, nowMs) - costApart(b, nowMs))
      .map(({ id }) => id);
  }

  /** All upstreams of the service, or of many a few that are the same for requests with the same prompt parts. */
  get #near(): readonly Upstream[] {
    const { upstreams, random } = this.#dependencies;
    const { head, service } = this.#call;
    const key = lastSharedPart(head.promptParts)?.id ?? String(random());
    return this.#filterSuitable(upstreams.candidates(service.name, key));
  }

  #isOpen({ id, hasRoom }: Upstream): boolean {
    return hasRoom && !this.#closedIds.has(id);
  }

  /** The upstreams that the request was sent to, and those to which it could not be sent just now. */
  get #closedIds(): ReadonlySet<UpstreamId> {
    if (this.#unsentAtMs.size === 0) return this.#attemptedIds;
    const sinceMs = this.#dependencies.clock.monotonicMs() - reconnectDelayMs;
    const unsent = [...this.#unsentAtMs].filter(([, atMs]) => atMs > sinceMs);
    return new Set([...this.#attemptedIds, ...unsent.map(([id]) => id)]);
  }

  #isHedge(upstream: Upstream): boolean {
    return !isSilent(upstream.activity, silenceLimitMs) && this.#isOpen(upstream);
  }

  /** For a stream that has begun, prefers upstreams of which it is known which run they are. */
  #pickProven(candidates: readonly Upstream[]): UpstreamPick | undefined {
    if (this.#call.progress.origin === undefined) return this.#pickFrom(candidates);
    const proven = candidates.filter(({ isRunDoubted }) => !isRunDoubted);
    return this.#pickFrom(proven) ?? this.#pickFrom(candidates);
  }

  /** Leaves out what may not continue with the stream. */
  #filterSuitable(upstreams: readonly Upstream[]): readonly Upstream[] {
    const { origin } = this.#call.progress;
    if (origin === undefined) return upstreams;
    return upstreams.filter(({ run }) => mayContinueStream(origin, run));
  }

  #pickFrom(candidates: readonly Upstream[]): UpstreamPick | undefined {
    const { ownDomain, promptPartLocations, models, clock, random } = this.#dependencies;
    const { head, service } = this.#call;
    return pickUpstream({
      candidates,
      attemptedIds: this.#closedIds,
      promptParts: head.promptParts,
      promptTokens: head.tokens?.promptTokens ?? 0,
      engine: service.engine,
      model: models.get(service.name),
      ownDomain,
      promptPartLocations,
      nowMs: clock.monotonicMs(),
      random,
    });
  }
}

/** Orders upstreams for a suspect: those in use first, and among these by their requests. */
function costApart(upstream: Upstream, nowMs: number): number {
  const requests = upstream.inFlight.size + (upstream.reportedLoad?.running ?? 0);
  const ejectedCost = upstream.isEjected(nowMs) ? 1_000_000 : 0;
  return ejectedCost + requests;
}
