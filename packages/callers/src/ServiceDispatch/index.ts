import {
  millisecondsInHour,
  RouterError,
  withTimeout,
  type ClassName,
  type ServiceName,
} from '@acaciacrank/base';
import type { Upstream } from '@acaciacrank/routing';
import { readBackoffMs, type ServiceResponse, type ServiceRequest } from '@acaciacrank/upstreams';
import { toPossiblyRunError } from '../_lib/toPossiblyRunError/index.js';
import { UpstreamPicker, type UpstreamPickerOptions } from '../_lib/UpstreamPicker/index.js';
import type { RequestQuarantine } from '../RequestQuarantine/index.js';
import { SuspectTracker } from '../_lib/SuspectTracker/index.js';
import { abortReason, untilAborted } from '../_lib/untilAborted/index.js';

/** Options of {@link ServiceDispatch}. */
export interface ServiceDispatchOptions extends UpstreamPickerOptions {
  quarantine: RequestQuarantine;
}

/** One call to make at any suitable upstream. */
export interface ServiceCallTask {
  readonly request: ServiceRequest;
  /** Names what is asked for, the same for all attempts to call it. */
  readonly digest: string;
  readonly service: ServiceName;
  readonly className: ClassName;
  /** Whether the call is idempotent, so that it may be retried. */
  readonly isRepeatable: boolean;
  /** When the response is due, by the monotonic clock; there are no retries after it. */
  readonly answerDueMs: number;
  /** Checked before each dispatch: whether the reserved tokens may still be spent. */
  readonly isSpendable: () => boolean;
}

/** Base of the jittered exponential backoff before a retry, in milliseconds. */
const retryBackoffMs = 50;
/** Minimum time that an upstream gets to respond, however near the due time, in milliseconds. */
const minAnswerTimeoutMs = 250;
/** Status of a service that is temporarily unavailable; the call may have run nevertheless. */
const unavailableStatus = 503;

/** The result of one attempt at one upstream. */
type Attempt = { readonly answer: ServiceResponse } | { readonly error: RouterError };

/**
 * Makes one call at one upstream, and retries at another only where that is safe: if no byte of the
 * call reached the first, or if the call is idempotent. Either uses the retry budget.
 */
export class ServiceDispatch {
  readonly #options: ServiceDispatchOptions;

  constructor(options: ServiceDispatchOptions) {
    this.#options = options;
  }

  /**
   * Makes one call.
   *
   * @param task - what to call
   * @param signal - aborts the call, which may have run nevertheless
   * @returns the service's response, whatever its status
   * @throws RouterError whose `ran` is `notRun` only if no upstream can have run the call
   */
  async call(task: ServiceCallTask, signal: AbortSignal): Promise<ServiceResponse> {
    const picker = new UpstreamPicker(this.#options, { ...task, dueMs: task.answerDueMs });
    const { digest, service, answerDueMs: dueMs } = task;
    const tracker = new SuspectTracker({ ...this.#options, request: { digest, service }, dueMs });
    let mayHaveRun = false;
    let lastAttempt: Attempt | undefined;
    for (;;) {
      const upstream = await tracker.next(picker);
      if (upstream === undefined) break;
      if (lastAttempt !== undefined) await this.#backOff(picker.triedUpstreams, signal);
      lastAttempt = await this.#attempt(upstream, task, signal);
      await recordAttempt(tracker, upstream, lastAttempt);
      if ('answer' in lastAttempt) {
        if (lastAttempt.answer.status !== unavailableStatus) return lastAttempt.answer;
        mayHaveRun = true;
      } else {
        mayHaveRun ||= lastAttempt.error.ran !== 'notRun';
      }
      if (signal.aborted || (mayHaveRun && !task.isRepeatable)) break;
    }
    if (lastAttempt !== undefined && 'answer' in lastAttempt) return lastAttempt.answer;
    const error =
      lastAttempt?.error ??
      new RouterError('upstreamUnavailable', `no live upstream of ${task.service}`);
    throw mayHaveRun ? toPossiblyRunError(error) : error;
  }

  #backOff(triedUpstreams: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    return clock.sleep(retryBackoffMs * 2 ** (triedUpstreams - 1) * random(), signal);
  }

  async #attempt(upstream: Upstream, task: ServiceCallTask, signal: AbortSignal): Promise<Attempt> {
    try {
      return { answer: await this.#callOne(upstream, task, signal) };
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      this.#options.metrics.count('upstreamFailures', upstream.id);
      return { error };
    }
  }

  async #callOne(
    upstream: Upstream,
    task: ServiceCallTask,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { clock, registry } = this.#options;
    const { plain } = upstream;
    if (plain === undefined) {
      const message = `${upstream.id} is not a plain service`;
      throw new RouterError('internal', message, { ran: 'notRun' });
    }
    if (signal.aborted) throw notSent(abortReason(signal));
    if (!task.isSpendable()) {
      const message = 'the grant expired before the call was dispatched';
      throw new RouterError('storeUnavailable', message, { ran: 'notRun' });
    }
    using inFlight = registry.begin(upstream);
    const startedMs = clock.monotonicMs();
    const send = (timeoutSignal: AbortSignal) =>
      untilAborted(plain.call(task.request, timeoutSignal), signal).catch((error: unknown) => {
        throw signal.aborted ? toPossiblyRunError(abortReason(signal)) : error;
      });
    const what = `${task.request.method} ${task.request.path}`;
    const answer = await withTimeout(clock, this.#timeoutMs(upstream, task), send, {
      kind: 'outcomeUnknown',
      what,
      signal,
    }).catch((error: unknown) => {
      if (error instanceof RouterError && !signal.aborted) inFlight.failed(error);
      throw error;
    });
    inFlight.progress();
    const backoffMs = readBackoffMs(answer.status, answer.headers);
    if (backoffMs !== undefined) inFlight.backOff(backoffMs);
    plain.responseTimeout.observe(clock.monotonicMs() - startedMs);
    return answer;
  }

  /**
   * An idempotent call gives up on an unresponsive upstream early, while there is time for another.
   * Any other call waits until its total deadline, since it cannot be retried: the signal ends it
   * long before the hour that is returned here.
   */
  #timeoutMs(upstream: Upstream, task: ServiceCallTask): number {
    if (!task.isRepeatable || upstream.plain === undefined) return millisecondsInHour;
    const learnedTimeoutMs = upstream.plain.responseTimeout.limitMs();
    const remainingMs = task.answerDueMs - this.#options.clock.monotonicMs();
    if (remainingMs <= 0) return learnedTimeoutMs;
    return Math.min(learnedTimeoutMs, Math.max(minAnswerTimeoutMs, remainingMs / 2));
  }
}

/** A connection that broke may have broken since the upstream has ended. */
async function recordAttempt(
  tracker: SuspectTracker,
  upstream: Upstream,
  attempt: Attempt,
): Promise<void> {
  if ('answer' in attempt) tracker.recordAnswered();
  else if (attempt.error.kind === 'outcomeUnknown') await tracker.recordFailure(upstream);
  else tracker.recordNotRun();
}

function notSent(error: RouterError): RouterError {
  return new RouterError(error.kind, error.message, { ran: 'notRun' });
}
