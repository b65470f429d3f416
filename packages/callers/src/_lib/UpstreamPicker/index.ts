/**
 * Picks the upstreams that a request tries.
 */
import type { ClassName, Clock, Metrics, Random, ServiceName, UpstreamId } from '@acaciacrank/base';
import type {
  RetryBudget,
  Upstream,
  UpstreamSelector,
  UpstreamRegistry,
} from '@acaciacrank/routing';

/** Options of {@link UpstreamPicker}. */
export interface UpstreamPickerOptions {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  registry: UpstreamRegistry;
  selector: UpstreamSelector;
  retries: RetryBudget;
}

/** Properties of a request that determine its upstream. */
export interface PickCriteria {
  readonly service: ServiceName;
  readonly className: ClassName;
  /** Hash of the start of the prompt, for prefix affinity; undefined for plain services. */
  readonly prefixHash?: number | undefined;
  /** When the first token or the response is due, by the monotonic clock. */
  readonly dueMs: number;
}

/** Maximum number of upstreams tried for one request. */
export const maxUpstreamsTried = 3;

/** Picks upstreams for one request, each at most once. */
export class UpstreamPicker {
  readonly #options: UpstreamPickerOptions;
  readonly #criteria: PickCriteria;
  readonly #tried = new Set<UpstreamId>();
  #lastTried: Upstream | undefined;

  constructor(options: UpstreamPickerOptions, criteria: PickCriteria) {
    this.#options = options;
    this.#criteria = criteria;
  }

  /** Number of upstreams tried so far. */
  get triedUpstreams(): number {
    return this.#tried.size;
  }

  /**
   * Picks the next upstream to try.
   *
   * Every upstream after the first takes a retry from the retry budget of the one that failed, and
   * none is tried once the request is overdue.
   *
   * @param isEligible - whether an upstream may be picked; by default each may
   * @returns undefined if there is no upstream or no retry left
   */
  next(isEligible: (id: UpstreamId) => boolean = () => true): Upstream | undefined {
    const { registry, selector, random, retries } = this.#options;
    const { service, className, prefixHash } = this.#criteria;
    if (this.#tried.size >= maxUpstreamsTried) return undefined;
    const all = registry.candidates(service, this.#tried);
    const candidates = all.filter(({ id }) => isEligible(id));
    const upstream = selector.choose(candidates, { random, prefixHash });
    if (upstream === undefined || !this.#isAttemptAllowed()) return undefined;
    this.#lastTried = upstream;
    this.#tried.add(upstream.id);
    retries.recordAttempt(upstream.id, className);
    return upstream;
  }

  /** Ids of the upstreams that may be tried next. */
  get candidateIds(): readonly UpstreamId[] {
    const { registry } = this.#options;
    if (this.#tried.size >= maxUpstreamsTried) return [];
    return registry.candidates(this.#criteria.service, this.#tried).map(({ id }) => id);
  }

  /** Takes the given upstream as the next one; undefined if it may not be tried. */
  take(id: UpstreamId): Upstream | undefined {
    const { registry, retries } = this.#options;
    const { service, className } = this.#criteria;
    const upstream = registry.candidates(service, this.#tried).find((one) => one.id === id);
    if (upstream === undefined || !this.#isAttemptAllowed()) return undefined;
    this.#lastTried = upstream;
    this.#tried.add(id);
    retries.recordAttempt(id, className);
    return upstream;
  }

  #isAttemptAllowed(): boolean {
    const { clock, metrics, retries } = this.#options;
    const failed = this.#lastTried;
    if (failed === undefined) return true;
    if (clock.monotonicMs() >= this.#criteria.dueMs) return false;
    const isAllowed = retries.tryRetry(failed.id, this.#criteria.className);
    metrics.count(isAllowed ? 'retries' : 'retriesWithheld', failed.id);
    return isAllowed;
  }
}
