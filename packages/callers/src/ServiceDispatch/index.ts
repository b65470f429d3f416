import { RouterError, toRouterError, type ClassName, type ServiceName } from '@acaciacrank/base';
import {
  combineKnowledge,
  decideResend,
  HedgedAttempts,
  mayHaveRun,
  resultRanks,
  SendGate,
  SilenceProbes,
  type RunKnowledge,
  type Upstream,
} from '@acaciacrank/routing';
import { readBackoffMs, type ServiceResponse, type ServiceRequest } from '@acaciacrank/upstreams';
import { HedgeSchedule } from '../_lib/HedgeSchedule/index.js';
import { rankOfResult, ServiceAttempt, type ServiceResult } from '../_lib/ServiceAttempt/index.js';
import { toPossiblyRunError } from '../_lib/toPossiblyRunError/index.js';
import {
  maxUpstreamsTried,
  UpstreamPicker,
  type UpstreamPickerOptions,
} from '../_lib/UpstreamPicker/index.js';
import type { RequestFeatures, RequestQuarantine } from '../RequestQuarantine/index.js';
import { SuspectTracker } from '../_lib/SuspectTracker/index.js';
import { abortReason, untilAborted } from '../_lib/untilAborted/index.js';

/** Options of {@link ServiceDispatch}. */
export interface ServiceDispatchOptions extends UpstreamPickerOptions {
  quarantine: RequestQuarantine;
}

/** One call to make at any suitable upstream. */
export interface ServiceCallTask {
  readonly request: ServiceRequest;
  /** What it has in common with other calls. */
  readonly features: RequestFeatures;
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
/** Minimum time that an upstream gets to respond until another one is tried, in milliseconds. */
const minAnswerTimeoutMs = 250;
/** Counted against an upstream that was silent until another one had answered. */
const outrun = new RouterError('upstreamFailed', 'another upstream has answered first');

/** What is known about the call across all upstreams tried. */
interface CallOutcome {
  /** Whether it has run where it was sent; if it may have, no error reports it as `notRun`. */
  knowledge: RunKnowledge;
}

/** A call with what follows it across all upstreams tried. */
interface CallUnderWay {
  readonly task: ServiceCallTask;
  readonly picker: UpstreamPicker;
  readonly tracker: SuspectTracker;
  readonly outcome: CallOutcome;
  readonly signal: AbortSignal;
}

/**
 * Makes one call at one upstream, and retries at another only where that is safe: if no byte of the
 * call reached the first, or if the call is idempotent. An idempotent call is also sent to another one beside an
 * upstream that does not answer. Each uses the retry budget.
 */
export class ServiceDispatch {
  readonly #options: ServiceDispatchOptions;
  readonly #probes = new SilenceProbes();
  readonly #sendGate: SendGate;

  constructor(options: ServiceDispatchOptions) {
    this.#options = options;
    this.#sendGate = new SendGate(options);
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
    const { features, answerDueMs: dueMs } = task;
    const tracker = new SuspectTracker({ ...this.#options, features, dueMs });
    const outcome: CallOutcome = { knowledge: 'notSent' };
    let last: ServiceResult | undefined;
    for (;;) {
      const upstream = await tracker.next(picker);
      if (upstream === undefined) break;
      if (last !== undefined) await this.#backOff(picker.triedUpstreams, signal);
      last = await this.#attempt(upstream, { task, picker, tracker, outcome, signal });
      if (rankOfResult(last) === resultRanks.final) break;
      if (signal.aborted) break;
      const sends = { sends: picker.triedUpstreams, maxSends: maxUpstreamsTried };
      const { isRepeatable } = task;
      // Whether an upstream is left is for the picker to say, after the quarantine has been consulted.
      if (decideResend({ isRepeatable, ...outcome, ...sends }) === 'mayHaveRun') break;
    }
    if (last?.kind === 'answer') return last.answer;
    const error =
      last?.kind === 'failed'
        ? last.error
        : new RouterError('upstreamUnavailable', `no live upstream of ${task.service}`);
    throw mayHaveRun(outcome.knowledge) ? toPossiblyRunError(error) : error;
  }

  #backOff(triedUpstreams: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    return clock.sleep(retryBackoffMs * 2 ** (triedUpstreams - 1) * random(), signal);
  }

  /**
   * Sends the call to an upstream, and to others beside it while no answer arrives, if it may run twice. Returns the
   * first answer, or the failure that says most once all have failed.
   */
  async #attempt(upstream: Upstream, call: CallUnderWay): Promise<ServiceResult> {
    const { task, picker, tracker, outcome, signal } = call;
    const { quarantine } = this.#options;
    const records: Promise<void>[] = [];
    const attempts = new HedgedAttempts<ServiceAttempt, ServiceResult>({
      onEnded: ({ contender, result }) => {
        outcome.knowledge = combineKnowledge(outcome.knowledge, knowledgeOf(result));
        records.push(recordResult(tracker, contender.upstream, result));
      },
      rankOf: rankOfResult,
      toFailure: (thrown) => ({ kind: 'failed', error: toRouterError(thrown) }),
    });
    const start = (next: Upstream) => {
      const attempt = new ServiceAttempt(next, (superseded) =>
        this.#tryOne(next, task, signal, superseded),
      );
      attempts.add(attempt);
      return attempt.ended;
    };
    void start(upstream);
    const hedges = new HedgeSchedule({
      ...this.#options,
      probes: this.#probes,
      picker,
      service: task.service,
      isRepeatable: task.isRepeatable,
      endCount: () => quarantine.crashCountOf(task.features),
      waitMs: () => this.#hedgeWaitMs(upstream, task),
      start,
    });
    const { result } = await attempts.result();
    hedges[Symbol.dispose]();
    if (rankOfResult(result) !== resultRanks.final) await Promise.all(records);
    return result;
  }

  async #tryOne(
    upstream: Upstream,
    task: ServiceCallTask,
    signal: AbortSignal,
    superseded: AbortSignal,
  ): Promise<ServiceResult> {
    try {
      return { kind: 'answer', answer: await this.#callOne(upstream, task, signal, superseded) };
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      this.#options.metrics.count('upstreamFailures', upstream.id);
      return { kind: 'failed', error };
    }
  }

  async #callOne(
    upstream: Upstream,
    task: ServiceCallTask,
    signal: AbortSignal,
    superseded: AbortSignal,
  ): Promise<ServiceResponse> {
    const { clock, registry } = this.#options;
    const { plain } = upstream;
    if (plain === undefined) {
      const message = `${upstream.id} is not a plain service`;
      throw new RouterError('internal', message, { ran: 'notRun' });
    }
    if (this.#sendGate.isLate) await this.#sendGate.enter();
    if (signal.aborted) throw notSent(abortReason(signal));
    if (!task.isSpendable()) {
      const message = 'the grant expired before the call was dispatched';
      throw new RouterError('storeUnavailable', message, { ran: 'notRun' });
    }
    using inFlight = registry.begin(upstream);
    const startedMs = clock.activeMs();
    const ended = AbortSignal.any([signal, superseded]);
    const answer = await untilAborted(plain.call(task.request, ended), ended).catch(
      (error: unknown) => {
        if (signal.aborted) throw toPossiblyRunError(abortReason(signal));
        if (error instanceof RouterError) inFlight.failed(superseded.aborted ? outrun : error);
        throw error;
      },
    );
    inFlight.progress();
    const backoffMs = readBackoffMs(answer.status, answer.headers);
    if (backoffMs !== undefined) inFlight.backOff(backoffMs);
    plain.responseTimeout.observe(clock.activeMs() - startedMs);
    return answer;
  }

  /**
   * After how long without an answer an idempotent call is sent to another upstream, while there is time for that;
   * undefined for any other call, and once the answer is overdue.
   */
  #hedgeWaitMs({ plain }: Upstream, task: ServiceCallTask): number | undefined {
    const remainingMs = task.answerDueMs - this.#options.clock.monotonicMs();
    if (!task.isRepeatable || plain === undefined || remainingMs <= 0) return undefined;
    return Math.min(plain.responseTimeout.limitMs(), Math.max(minAnswerTimeoutMs, remainingMs / 2));
  }
}

/** A connection that broke may have broken since the upstream has ended. */
async function recordResult(
  tracker: SuspectTracker,
  upstream: Upstream,
  result: ServiceResult,
): Promise<void> {
  if (result.kind === 'answer') tracker.recordAnswered();
  else if (result.kind === 'failed' && result.error.kind === 'outcomeUnknown')
    await tracker.recordFailure(upstream);
  else if (result.kind === 'failed') tracker.recordNotRun();
}

/** What a result shows of whether the upstream has run the call; a superseded one may have. */
function knowledgeOf(result: ServiceResult): RunKnowledge {
  if (result.kind === 'answer') return 'ran';
  return result.kind === 'failed' ? result.error.ran : 'unknown';
}

function notSent(error: RouterError): RouterError {
  return new RouterError(error.kind, error.message, { ran: 'notRun' });
}
