import { toRouterError, withTimeout, type Clock } from '@acaciacrank/base';
import type { SuspectRequest, Upstream } from '@acaciacrank/routing';
import type { RequestQuarantine, SuspectAttempt } from '../../RequestQuarantine/index.js';
import type { UpstreamPicker } from '../UpstreamPicker/index.js';

/** Options of {@link SuspectTracker}. */
export interface SuspectTrackerOptions {
  clock: Clock;
  quarantine: RequestQuarantine;
  request: SuspectRequest;
  /** When the answer is due, by the monotonic clock. */
  dueMs: number;
}

/** How long an upstream may take to report its load, which shows that it has not ended, in milliseconds. */
const endProbeTimeoutMs = 300;

/** Follows one request across all upstreams tried: whether they end while they run it. */
export class SuspectTracker {
  readonly #options: SuspectTrackerOptions;
  #attempt: SuspectAttempt | undefined;

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
    const { quarantine, request, dueMs } = this.#options;
    if (quarantine.suspects.isEmpty || !quarantine.isSuspect(request.digest)) return picker.next();
    const candidates = () => picker.candidateIds;
    this.#attempt = await quarantine.admit({ ...request, candidates, deadlineMs: dueMs });
    if (this.#attempt === undefined) return picker.next();
    const upstream = picker.take(this.#attempt.upstreamId);
    if (upstream === undefined) this.#finish(false);
    return upstream;
  }

  /** Records that the upstream has answered. */
  recordAnswered(): void {
    const { quarantine, request } = this.#options;
    quarantine.recordAnswered(request.digest);
    this.#finish(true);
  }

  /** Finds out whether the upstream has ended, after its connection failed while it may have run the request. */
  async recordFailure(upstream: Upstream): Promise<void> {
    const { quarantine, request } = this.#options;
    if (await this.#hasEnded(upstream)) quarantine.recordEnd(request, upstream.id);
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
