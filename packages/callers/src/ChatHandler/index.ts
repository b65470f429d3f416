import {
  toRouterError,
  hashText,
  millisecondsInSecond,
  RouterError,
  type ClassName,
  type Clock,
  type Metrics,
  type RequestId,
  type RequestKey,
  type ServiceName,
} from '@acaciacrank/base';
import type { Bill, BudgetLedger, BudgetRef } from '@acaciacrank/ledger';
import type {
  ClassEntry,
  ConfigurationInForce,
  EngineServiceDocument,
} from '@acaciacrank/operators';
import type { AdmissionQueue } from '@acaciacrank/routing';
import type { EndFrame, EngineFrame, EngineUsage } from '@acaciacrank/upstreams';
import { toPossiblyRunError } from '../_lib/toPossiblyRunError/index.js';
import { createCallerDeadline } from '../_lib/createCallerDeadline/index.js';
import { DeadlineSignal } from '../_lib/DeadlineSignal/index.js';
import { reserveTokensOrFindBill } from '../_lib/reserveTokens/index.js';
import type { TokenReservation } from '../_lib/TokenReservation/index.js';
import { createFeatures } from '../_lib/createFeatures/index.js';
import { chatDigest, requestKeyOf } from '../_lib/requestKeyOf/index.js';
import { abortReason } from '../_lib/untilAborted/index.js';
import { AnswerCache } from '../AnswerCache/index.js';
import type { EngineDispatch } from '../EngineDispatch/index.js';
import { SharedAnswer } from '../SharedAnswer/index.js';
import type { ChatCall, ChatFrame } from '../types.js';

/** Options of {@link ChatHandler}. */
export interface ChatHandlerOptions {
  clock: Clock;
  metrics: Metrics;
  configuration: () => ConfigurationInForce;
  ledger: BudgetLedger;
  queue: AdmissionQueue;
  engines: EngineDispatch;
  /** Generates ids that are unique across instances and restarts. */
  nextRequestId: () => RequestId;
  /** Answers in progress or finished at this instance; pass one to set its bounds. */
  answers?: AnswerCache;
  /** How long a started answer continues after its caller has disconnected, in milliseconds. */
  lingerMs?: number | undefined;
  /** Longest request duration that the ledger's grants allow, in milliseconds. */
  longestRequestMs?: number;
}

/** Part of the longest request duration that is reserved for writing the bill, in milliseconds. */
const billMarginMs = 10 * millisecondsInSecond;

/** One attempt at a request: the call and its configuration. */
interface Attempt {
  readonly call: ChatCall;
  readonly key: RequestKey;
  readonly digest: string;
  readonly requestId: RequestId;
  readonly budget: BudgetRef;
  readonly service: EngineServiceDocument;
  readonly classEntry: ClassEntry;
  readonly maxTokens: number;
  /** Series of this attempt's metrics: client account and class. */
  readonly series: string;
  readonly startedMs: number;
}

/** How much was generated so far; determines the bill of an answer that ends early. */
interface GenerationProgress {
  tokens: number;
  /** Usage reported by the engine after the generation was cancelled. */
  usage: Promise<EngineUsage | undefined>;
}

/**
 * Answers chat completions: reserves tokens, waits for admission, streams, bills and sends the
 * final frame. A retry with the same idempotency key reads the same answer.
 */
export class ChatHandler {
  readonly #options: ChatHandlerOptions;
  readonly #answers: AnswerCache;
  #openBills = 0;

  constructor(options: ChatHandlerOptions) {
    this.#options = options;
    this.#answers = options.answers ?? new AnswerCache({ clock: options.clock });
  }

  /**
   * Number of answers and bills in progress, including those whose caller has disconnected; a
   * planned stop waits for them.
   */
  get openAnswers(): number {
    return this.#answers.openAnswers + this.#openBills;
  }

  /**
   * Runs one call, or joins the run of the same call with the same idempotency key.
   *
   * @param call - the caller's request
   * @param signal - aborted when the caller disconnects
   * @returns the answer's frames; the final one comes only after the bill has been stored durably
   * @throws RouterError of any kind; after the first frame its `ran` is never `notRun`
   */
  async *run(call: ChatCall, signal: AbortSignal): AsyncIterable<ChatFrame> {
    const attempt = this.#createAttempt(call);
    this.#options.metrics.count('requests', attempt.series);
    const existing = this.#answers.find(attempt.key, attempt.digest);
    const answer = existing ?? this.#startAnswer(attempt);
    const { totalDeadlineMs } = attempt.classEntry;
    const isAnswered = () => answer.isGenerated;
    using callerDeadline = createCallerDeadline(
      this.#options.clock,
      totalDeadlineMs,
      signal,
      isAnswered,
    );
    if (existing === undefined) {
      yield* answer.read(callerDeadline.signal);
      return;
    }
    this.#options.metrics.count('joined', attempt.series);
    for await (const frame of answer.read(callerDeadline.signal)) {
      yield frame.kind === 'final' ? { ...frame, isRepeat: true } : frame;
    }
  }

  /**
   * Authenticates the call and resolves its budget, service and class, before any answer is shared.
   */
  #createAttempt(call: ChatCall): Attempt {
    const { index } = this.#options.configuration();
    const accountId = index.accountOfKey(call.accountKey);
    const budget = index.budgetOf(accountId, call.budgetId);
    const service = index.engineServiceOf(call.model);
    const classEntry = index.classOf(call.className);
    return {
      call,
      key: requestKeyOf(call),
      digest: chatDigest(call),
      requestId: this.#options.nextRequestId(),
      budget,
      service,
      classEntry,
      maxTokens: Math.min(call.maxTokens ?? service.maxOutputTokens, service.maxOutputTokens),
      series: `${accountId}/${classEntry.name}`,
      startedMs: this.#options.clock.monotonicMs(),
    };
  }

  #startAnswer(attempt: Attempt): SharedAnswer {
    const { clock, queue, lingerMs = 5 * millisecondsInSecond } = this.#options;
    const answer = new SharedAnswer({
      clock,
      digest: attempt.digest,
      produce: (signal, onGenerated) => this.#produce(attempt, signal, onGenerated),
      // While other requests wait, a slot is not kept for a caller that has disconnected.
      lingerMs: () => (queue.waitingRequests > 0 ? 0 : lingerMs),
    });
    this.#answers.add(attempt.key, answer);
    return answer;
  }

  async *#produce(
    attempt: Attempt,
    parentSignal: AbortSignal,
    onGenerated: () => void,
  ): AsyncIterable<ChatFrame> {
    const { clock, longestRequestMs = 600 * millisecondsInSecond } = this.#options;
    const limitMs = Math.min(attempt.classEntry.totalDeadlineMs, longestRequestMs - billMarginMs);
    using deadline = new DeadlineSignal(clock, limitMs, parentSignal);
    const progress: GenerationProgress = { tokens: 0, usage: Promise.resolve(undefined) };
    using held = await this.#reserve(attempt);
    let end: EndFrame | undefined;
    try {
      using slot = await this.#admit(attempt, deadline.signal);
      for await (const frame of this.#generate(attempt, held, progress, deadline.signal)) {
        if (frame.kind === 'token') yield frame;
        else end = frame;
      }
    } catch (thrown) {
      this.#failEarly(attempt, held, progress, toRouterError(thrown));
    }
    if (end === undefined)
      throw new RouterError('upstreamFailed', 'the engine stream ended without an end frame');
    onGenerated();
    yield await this.#finish(attempt, held, end);
  }

  #reserve(attempt: Attempt): Promise<TokenReservation> {
    const { ledger, clock } = this.#options;
    const tokens = maxPromptTokens(attempt) + attempt.maxTokens;
    const limitMs = this.#remainingFirstTokenMs(attempt);
    const options = { clock, ledger, budget: attempt.budget, tokens, limitMs };
    return reserveTokensOrFindBill(options, attempt);
  }

  #admit(attempt: Attempt, signal: AbortSignal): Promise<Disposable> {
    if (signal.aborted) throw abortReason(signal);
    return this.#options.queue.admit({
      service: attempt.service.name as ServiceName,
      priority: attempt.classEntry.priority,
      accountId: attempt.budget.accountId,
      waitMs: this.#remainingFirstTokenMs(attempt),
      signal,
    });
  }

  async *#generate(
    attempt: Attempt,
    held: TokenReservation,
    progress: GenerationProgress,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const { call, requestId, classEntry, maxTokens } = attempt;
    const service = attempt.service.name as ServiceName;
    const frames = this.#options.engines.stream(
      {
        request: {
          requestId,
          model: call.model,
          messages: call.messages,
          maxTokens,
          priority: classEntry.priority,
        },
        features: createFeatures({ service, digest: attempt.digest, messages: call.messages }),
        service,
        className: classEntry.name as ClassName,
        prefixHash: hashText(call.messages[0]?.content ?? ''),
        firstTokenDueMs: attempt.startedMs + classEntry.firstTokenDeadlineMs,
        isSpendable: () => held.isSpendable(),
        onCancelled: (usage) => {
          progress.usage = usage;
        },
      },
      signal,
    );
    for await (const frame of frames) {
      if (frame.kind === 'token') this.#recordToken(attempt, progress);
      yield frame;
    }
  }

  async #finish(attempt: Attempt, held: TokenReservation, end: EndFrame): Promise<ChatFrame> {
    const { metrics, clock } = this.#options;
    const bill = await this.#settle(attempt, held, end.promptTokens + end.outputTokens);
    if (bill.isRepeat && bill.bodyDigest !== attempt.digest) {
      const message = 'the idempotency key was used with another body';
      throw new RouterError('keyReused', message, { ran: 'ran' });
    }
    metrics.count('answered', attempt.series);
    metrics.record('totalMs', attempt.series, clock.monotonicMs() - attempt.startedMs);
    return {
      kind: 'final',
      requestId: attempt.requestId,
      finishReason: end.finishReason,
      promptTokens: end.promptTokens,
      outputTokens: end.outputTokens,
      billedTokens: bill.tokens,
      isRepeat: bill.isRepeat,
    };
  }

  /**
   * Ends a run whose answer is incomplete. What was generated is billed if the caller disconnected
   * or the class's deadline passed; failures of this system or of an upstream are not billed.
   * The error is thrown without waiting for the bill.
   */
  #failEarly(
    attempt: Attempt,
    held: TokenReservation,
    progress: GenerationProgress,
    error: RouterError,
  ): never {
    const isBilled = error.kind === 'cancelled' || error.kind === 'deadlineExceeded';
    this.#options.metrics.count('wastedTokens', attempt.series, progress.tokens);
    if (isBilled && progress.tokens > 0)
      this.#billPartialAnswer(attempt, held.transfer(), progress);
    throw progress.tokens > 0 ? toPossiblyRunError(error) : error;
  }

  /**
   * Bills the usage that the engine reports. If it reports none, only the received tokens are
   * billed: the number of prompt tokens is unknown here, and an estimate could overcharge.
   */
  #billPartialAnswer(attempt: Attempt, held: TokenReservation, progress: GenerationProgress): void {
    this.#openBills += 1;
    const end = () => {
      held.release();
      this.#openBills -= 1;
    };
    progress.usage
      .then((usage) => {
        const { promptTokens, outputTokens } = usage ?? { promptTokens: 0, outputTokens: 0 };
        const tokens = promptTokens + Math.max(outputTokens, progress.tokens);
        return this.#settle(attempt, held, tokens);
      })
      .then(end, end);
  }

  async #settle(attempt: Attempt, held: TokenReservation, tokens: number): Promise<Bill> {
    const { metrics } = this.#options;
    const bill = await held.settle({
      requestKey: attempt.key,
      requestId: attempt.requestId,
      bodyDigest: attempt.digest,
      tokens,
    });
    metrics.count('billedTokens', attempt.series, bill.isRepeat ? 0 : bill.tokens);
    metrics.count('unbillableTokens', attempt.series, bill.unbillableTokens);
    return bill;
  }

  #recordToken(attempt: Attempt, progress: GenerationProgress): void {
    const { clock, metrics } = this.#options;
    const waitedMs = clock.monotonicMs() - attempt.startedMs;
    if (progress.tokens === 0) metrics.record('firstTokenMs', attempt.series, waitedMs);
    progress.tokens += 1;
  }

  #remainingFirstTokenMs(attempt: Attempt): number {
    const waitedMs = this.#options.clock.monotonicMs() - attempt.startedMs;
    return Math.max(0, attempt.classEntry.firstTokenDeadlineMs - waitedMs);
  }
}

/** Upper bound of the number of prompt tokens; only the engine counts them exactly. */
function maxPromptTokens({ call, service }: Attempt): number {
  const bytes = call.messages.reduce((sum, message) => sum + Buffer.byteLength(message.content), 0);
  return Math.ceil(bytes / service.minBytesPerToken);
}
