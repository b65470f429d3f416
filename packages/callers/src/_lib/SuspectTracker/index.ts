import { toRouterError, withTimeout, type Clock } from '@acaciacrank/base';
import { livedOnMs, type Upstream } from '@acaciacrank/routing';
import type {
  RequestFeatures,
  RequestQuarantine,
  SuspectAttempt,
} from '../../RequestQuarantine/index.js';
import type { UpstreamPicker } from '../UpstreamPicker/index.js';

/** Options of {@link SuspectTracker}. */
export interface SuspectTrackerOptions {
  clock: Clock;
  quarantine: RequestQuarantine;
  features: RequestFeatures;
  /** When the answer is due, by the monotonic clock. */
  dueMs: number;
}

/** How long an upstream may take to report its load, which shows that it has not ended, in milliseconds. */
const endProbeTimeoutMs = 300;

/** Follows one request across all upstreams tried: whether they end while they run it. */
export class SuspectTracker {
  readonly #options: SuspectTrackerOptions;
  #attempt: SuspectAttempt | undefined;
  /** When the request was last sent, on the monotonic clock, and since when it gets an answer. */
  #sentMs = -Infinity;
  #begunActiveMs: number | undefined;

  constructor(options: SuspectTrackerOptions) {
    this.#options = options;
  }

  /**
   * Chooses the next upstream: for a request under which upstreams have ended, one that may be risked.
   *
   * @returns undefined if there is none
   * @throws RouterError `requestQuarantined` if the request may be sent to none any more
   */
  async next(picker: UpstreamPicker): Promise<Upstream | undefined> {
    const { clock, quarantine, features, dueMs } = this.#options;
    this.#sentMs = clock.monotonicMs();
    this.#begunActiveMs = undefined;
    if (quarantine.suspects.isEmpty || !quarantine.isSuspect(features)) return picker.next();
    const candidates = () => picker.candidateIds;
    this.#attempt = await quarantine.admit({ features, candidates, deadlineMs: dueMs });
    this.#sentMs = clock.monotonicMs();
    if (this.#attempt === undefined) return picker.next();
    const upstream = picker.take(this.#attempt.upstreamId);
    if (upstream === undefined) this.#finish(false);
    return upstream;
  }

  /** Records that the upstream has begun to answer. */
  recordBegun(): void {
    this.#begunActiveMs = this.#options.clock.activeMs();
  }

  /** Records that the upstream has answered. */
  recordAnswered(): void {
    const { quarantine, features } = this.#options;
    quarantine.recordAnswered(features);
    this.#finish(true);
  }

  /** Finds out whether the upstream has ended, after its connection failed while it may have run the request. */
  async recordFailure(upstream: Upstream): Promise<void> {
    const { clock, quarantine, features } = this.#options;
    const sentMs = this.#sentMs;
    const lostMs = clock.monotonicMs();
    const begunActiveMs = this.#begunActiveMs ?? Infinity;
    const hasLivedOn = clock.activeMs() - begunActiveMs >= livedOnMs;
    const crashed = { features, upstreamId: upstream.id, sentMs, lostMs, hasLivedOn };
    if (await this.#hasEnded(upstream)) await quarantine.recordCrash(crashed);
    this.#finish(false);
  }

  /** Records that the upstream did not run the request. */
  recordNotRun(): void {
    this.#finish(false);
  }

  #finish(wasAnswered: boolean): void {
    this.#attempt?.finish(wasAnswered);
    this.#attempt = undefined;
  }

  async #hasEnded({ engine, plain }: Upstream): Promise<boolean> {
    const { clock } = this.#options;
    const client = engine ?? plain;
    if (client === undefined) return false;
    const limit = { kind: 'deadlineExceeded', what: 'a report of the load' } as const;
    try {
      await withTimeout(clock, endProbeTimeoutMs, () => client.readLoad(), limit);
      return false;
    } catch (thrown) {
      return toRouterError(thrown).kind === 'upstreamUnavailable';
    }
  }
}
