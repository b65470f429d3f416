import type { Clock, ErrorKind, RouterError } from '@acaciacrank/base';
import { InFlightRequest } from '../../InFlightRequest/index.js';
import type { UnansweredRequest } from '../../UpstreamHealth/index.js';
import type { RegistryEntry } from '../RegistryEntry/index.js';
import type { ServicePool } from '../ServicePool/index.js';

/** Dependencies of a {@link RegistryRequest}. */
export interface RegistryRequestContext {
  readonly clock: Clock;
  readonly pool: ServicePool;
  readonly ended: () => void;
  readonly failed: (error: RouterError) => void;
  readonly backOff: (durationMs: number) => void;
}

/** Errors attributed to the upstream rather than the caller. */
const upstreamFailureKinds: ReadonlySet<ErrorKind> = new Set([
  'upstreamUnavailable',
  'upstreamFailed',
  'outcomeUnknown',
]);

/** An in-flight request that updates the statistics of its upstream. */
export class RegistryRequest extends InFlightRequest {
  readonly #entry: RegistryEntry;
  readonly #priority: number;
  readonly #context: RegistryRequestContext;
  readonly #request: UnansweredRequest;
  #hasProgressed = false;
  #isEnded = false;

  constructor(entry: RegistryEntry, priority: number, context: RegistryRequestContext) {
    super();
    this.#entry = entry;
    this.#priority = priority;
    this.#context = context;
    this.#request = {
      startedMs: context.clock.activeMs(),
      averageFirstTokenMs: context.pool.averageFirstTokenMs(priority),
    };
    const { upstream } = entry;
    upstream.inFlightRequests += 1;
    upstream.limit.recordInFlight(upstream.inFlightRequests);
    upstream.health.begin(this.#request);
    upstream.backoff.recordSend();
    this.#recordChange(1);
  }

  override progress(): void {
    const { health } = this.#entry.upstream;
    const nowMs = this.#context.clock.activeMs();
    health.recordProgress(nowMs);
    if (this.#hasProgressed) return;
    this.#hasProgressed = true;
    const elapsedMs = nowMs - this.#request.startedMs;
    const averageMs = this.#request.averageFirstTokenMs ?? elapsedMs;
    health.recordFirstToken(this.#request, averageMs > 0 ? elapsedMs / averageMs : 1);
    this.#context.pool.recordFirstToken(this.#priority, elapsedMs);
    if (health.state === 'probing') this.#context.pool.update(this.#entry.upstream);
  }

  override backOff(durationMs: number): void {
    this.#context.backOff(durationMs);
  }

  override failed(error: RouterError): void {
    if (error.backoffMs !== undefined) this.backOff(error.backoffMs);
    if (!upstreamFailureKinds.has(error.kind)) return;
    this.#entry.upstream.health.recordFailure(this.#request);
    this.#context.failed(error);
  }

  override [Symbol.dispose](): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { upstream } = this.#entry;
    upstream.inFlightRequests -= 1;
    upstream.health.end(this.#request);
    this.#context.pool.recordRequestDuration(
      this.#context.clock.activeMs() - this.#request.startedMs,
    );
    this.#recordChange(-1);
    this.#context.ended();
  }

  #recordChange(by: 1 | -1): void {
    const { upstream, inFlightDelta } = this.#entry;
    inFlightDelta.record(by, this.#context.clock.wallMs());
    upstream.inFlightDelta = inFlightDelta.net;
    this.#context.pool.update(upstream);
  }
}
