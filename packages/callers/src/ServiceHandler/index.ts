import {
  toRouterError,
  millisecondsInSecond,
  RouterError,
  withTimeout,
  type ClassName,
  type Clock,
  type Metrics,
  type Random,
  type RequestId,
  type RequestKey,
  type ServiceName,
} from '@acaciacrank/base';
import type { Bill, BudgetLedger, BudgetRef, RequestRecords } from '@acaciacrank/ledger';
import {
  isRepeatableCall,
  type ClassEntry,
  type ConfigurationInForce,
  type PlainServiceDocument,
} from '@acaciacrank/operators';
import type { ServiceResponse } from '@acaciacrank/upstreams';
import { createCallerDeadline } from '../_lib/createCallerDeadline/index.js';
import { DeadlineSignal } from '../_lib/DeadlineSignal/index.js';
import { reserveTokens, reserveTokensOrFindBill } from '../_lib/reserveTokens/index.js';
import { answerFromRecord, toStoredAnswer } from '../_lib/storedAnswer/index.js';
import type { TokenReservation } from '../_lib/TokenReservation/index.js';
import { createFeatures } from '../_lib/createFeatures/index.js';
import { requestKeyOf, serviceDigest } from '../_lib/requestKeyOf/index.js';
import { untilAborted } from '../_lib/untilAborted/index.js';
import type { ServiceDispatch } from '../ServiceDispatch/index.js';
import type { ServiceCall } from '../types.js';

/** Options of {@link ServiceHandler}. */
export interface ServiceHandlerOptions {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  configuration: () => ConfigurationInForce;
  ledger: BudgetLedger;
  records: RequestRecords;
  services: ServiceDispatch;
  nextRequestId: () => RequestId;
  /** Longest request duration that the ledger's grants allow, in milliseconds. */
  longestRequestMs?: number;
}

/**
 * Part of the longest request duration that is reserved for writing the bill and the record, in
 * milliseconds.
 */
const billMarginMs = 10 * millisecondsInSecond;
/** How long a response may wait for its request record to be written or read, in milliseconds. */
const recordTimeoutMs = 2 * millisecondsInSecond;
/** Attempts to write the outcome of a call; after the last one its record remains an intent. */
const maxRecordWrites = 20;

/** One attempt at a request: the call and its configuration. */
interface Attempt {
  readonly call: ServiceCall;
  readonly key: RequestKey;
  readonly digest: string;
  readonly requestId: RequestId;
  readonly budget: BudgetRef;
  readonly service: PlainServiceDocument;
  readonly classEntry: ClassEntry;
  readonly isRepeatable: boolean;
  /** Series of this attempt's metrics: client account and class. */
  readonly series: string;
  readonly startedMs: number;
  readonly progress: CallProgress;
}

interface CallProgress {
  /** Whether the service has responded, so that only the bill is missing. */
  isAnswered: boolean;
}

interface RunningCall {
  readonly digest: string;
  readonly answer: Promise<ServiceResponse>;
}

/** Handles calls to plain services; calls that are not idempotent run at most once. */
export class ServiceHandler {
  readonly #options: ServiceHandlerOptions;
  /** Non-idempotent calls in progress at this instance. */
  readonly #running = new Map<RequestKey, RunningCall>();
  #openWrites = 0;

  constructor(options: ServiceHandlerOptions) {
    this.#options = options;
  }

  /**
   * Number of calls, bills and records in progress, including those whose caller has disconnected.
   */
  get openCalls(): number {
    return this.#running.size + this.#openWrites;
  }

  /**
   * Runs one call.
   *
   * @param call - the caller's request
   * @param signal - aborted when the caller disconnects
   * @returns the service's response; the stored one if a non-idempotent call is retried
   * @throws RouterError of any kind
   */
  async run(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const attempt = this.#createAttempt(call);
    this.#options.metrics.count('requests', attempt.series);
    const { totalDeadlineMs } = attempt.classEntry;
    const isAnswered = () => attempt.progress.isAnswered;
    using callerDeadline = createCallerDeadline(
      this.#options.clock,
      totalDeadlineMs,
      signal,
      isAnswered,
    );
    const work = attempt.isRepeatable
      ? this.#runRepeatable(attempt, callerDeadline.signal)
      : this.#joinOrRunOnce(attempt);
    const answer = await untilAborted(work, callerDeadline.signal);
    this.#options.metrics.count('answered', attempt.series);
    return answer;
  }

  #createAttempt(call: ServiceCall): Attempt {
    const { index } = this.#options.configuration();
    const accountId = index.accountOfKey(call.accountKey);
    const budget = index.budgetOf(accountId, call.budgetId);
    const service = index.plainServiceOf(call.service);
    const classEntry = index.classOf(call.className);
    return {
      call,
      key: requestKeyOf(call),
      digest: serviceDigest(call),
      requestId: this.#options.nextRequestId(),
      budget,
      service,
      classEntry,
      isRepeatable: isRepeatableCall(service, call),
      series: `${accountId}/${classEntry.name}`,
      startedMs: this.#options.clock.monotonicMs(),
      progress: { isAnswered: false },
    };
  }

  /**
   * An idempotent call is billed only after its response has arrived: until then the caller can
   * retry.
   */
  async #runRepeatable(attempt: Attempt, signal: AbortSignal): Promise<ServiceResponse> {
    using deadline = this.#deadline(attempt, signal);
    using held = await this.#reserve(attempt);
    const answer = await this.#dispatch(attempt, held, deadline.signal);
    attempt.progress.isAnswered = true;
    const bill = await this.#bill(attempt, held);
    if (bill?.isRepeat === true && bill.bodyDigest !== attempt.digest) {
      const message = 'the idempotency key was used with another body';
      throw new RouterError('keyReused', message, { ran: 'ran' });
    }
    return answer;
  }

  /**
   * A retry that arrives while the call is running here waits for the same response. The call
   * continues if its caller disconnects: it cannot be undone, and a retry needs its outcome.
   */
  #joinOrRunOnce(attempt: Attempt): Promise<ServiceResponse> {
    const existing = this.#running.get(attempt.key);
    if (existing === undefined) return this.#start(attempt);
    if (existing.digest === attempt.digest) return existing.answer;
    throw new RouterError('keyReused', 'the idempotency key was used with another body');
  }

  #start(attempt: Attempt): Promise<ServiceResponse> {
    const answer = this.#runOnce(attempt);
    this.#running.set(attempt.key, { digest: attempt.digest, answer });
    const removeRunning = () => {
      this.#running.delete(attempt.key);
    };
    answer.then(removeRunning, removeRunning);
    return answer;
  }

  async #runOnce(attempt: Attempt): Promise<ServiceResponse> {
    let held: TokenReservation | undefined;
    try {
      held = await this.#reserve(attempt);
    } catch (error) {
      return this.#answerFromRecordOrThrow(attempt, error);
    }
    using guard = held;
    return await this.#runReserved(attempt, guard);
  }

  /** Records an intent, dispatches at most once, then writes the bill and the outcome. */
  async #runReserved(
    attempt: Attempt,
    held: TokenReservation | undefined,
  ): Promise<ServiceResponse> {
    const { clock, records } = this.#options;
    const { key, requestId, digest } = attempt;
    using deadline = this.#deadline(attempt, new AbortController().signal);
    const begun = await untilAborted(
      records.begin(key, requestId, digest, { signal: deadline.signal }),
      deadline.signal,
    );
    if (begun.kind === 'earlier') return answerFromRecord(begun.record, clock.wallMs());
    let answer: ServiceResponse;
    try {
      answer = await this.#dispatch(attempt, held, deadline.signal);
    } catch (error) {
      throw await this.#handleUnanswered(attempt, held, begun.version, toRouterError(error));
    }
    attempt.progress.isAnswered = true;
    await this.#bill(attempt, held);
    void this.#writeOutcome(attempt, begun.version, 'ran', toStoredAnswer(answer));
    return answer;
  }

  /**
   * A retry that cannot reserve tokens, for example because its first attempt used up the budget,
   * still gets the response of the first attempt, which needs no tokens.
   */
  async #answerFromRecordOrThrow(attempt: Attempt, error: unknown): Promise<ServiceResponse> {
    const { clock, records } = this.#options;
    const find = () => records.find(attempt.key);
    const limit = { kind: 'storeUnavailable', what: 'reading the record' } as const;
    const record = await withTimeout(clock, recordTimeoutMs, find, limit).catch(() => undefined);
    if (record === undefined || record.state === 'notRun') throw error;
    if (record.bodyDigest === attempt.digest) return answerFromRecord(record, clock.wallMs());
    throw new RouterError('keyReused', 'the idempotency key was used with another body');
  }

  /**
   * Ends a call without a response. A call that may have run is billed once and its record stays an
   * intent, so that the response to every retry states that the outcome is unknown. A call that did not run is not
   * billed. Its record is updated before the response is sent; only then does the error's claim cover
   * the whole request rather than this attempt.
   */
  async #handleUnanswered(
    attempt: Attempt,
    held: TokenReservation | undefined,
    version: number,
    error: RouterError,
  ): Promise<RouterError> {
    if (error.ran !== 'notRun') {
      this.#trackOpenWrite(this.#bill(attempt, held));
      if (error.ran === 'ran') return error;
      return new RouterError('outcomeUnknown', 'the call may have run', { cause: error });
    }
    held?.release();
    const recording = this.#writeOutcome(attempt, version, 'notRun');
    const limit = {
      kind: 'storeUnavailable',
      what: 'recording that the call did not run',
    } as const;
    const isRecorded = await withTimeout(
      this.#options.clock,
      recordTimeoutMs,
      () => recording,
      limit,
    ).catch(() => false);
    return new RouterError(error.kind, error.message, {
      ran: 'notRun',
      claimScope: isRecorded ? 'request' : 'attempt',
      ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs }),
    });
  }

  /** Replaces the intent by the outcome; retries through a temporary outage of the store. */
  async #writeOutcome(
    attempt: Attempt,
    version: number,
    state: 'ran' | 'notRun',
    answer?: unknown,
  ): Promise<boolean> {
    const { clock, random, records } = this.#options;
    const { key, requestId, digest: bodyDigest } = attempt;
    this.#openWrites += 1;
    try {
      for (let writes = 0; writes < maxRecordWrites; writes += 1) {
        const written = records.finish(key, requestId, version, { state, bodyDigest, answer });
        const isWritten = await written.then(
          () => true,
          () => false,
        );
        if (isWritten) return true;
        await clock.sleep(millisecondsInSecond * (1 + random()));
      }
      return false;
    } finally {
      this.#openWrites -= 1;
    }
  }

  #dispatch(
    attempt: Attempt,
    held: TokenReservation | undefined,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { call, requestId, service, classEntry, isRepeatable, startedMs } = attempt;
    const { method, path, headers, body } = call;
    const name = service.name as ServiceName;
    return this.#options.services.call(
      {
        request: { requestId, method, path, headers, body },
        features: createFeatures({ service: name, digest: attempt.digest }),
        service: name,
        className: classEntry.name as ClassName,
        isRepeatable,
        answerDueMs: startedMs + classEntry.firstTokenDeadlineMs,
        isSpendable: () => held?.isSpendable() ?? true,
      },
      signal,
    );
  }

  async #reserve(attempt: Attempt): Promise<TokenReservation | undefined> {
    const { clock, ledger } = this.#options;
    const { budget, service, classEntry } = attempt;
    if (service.tokensPerCall === 0) return undefined;
    const limitMs = classEntry.firstTokenDeadlineMs;
    const options = { clock, ledger, budget, tokens: service.tokensPerCall, limitMs };
    // For a non-idempotent call the request record is checked instead of the bill.
    return attempt.isRepeatable
      ? reserveTokensOrFindBill(options, attempt)
      : reserveTokens(options);
  }

  async #bill(attempt: Attempt, held: TokenReservation | undefined): Promise<Bill | undefined> {
    if (held === undefined) return undefined;
    const { key: requestKey, requestId, digest: bodyDigest, service, series } = attempt;
    const tokens = service.tokensPerCall;
    const bill = await held.settle({ requestKey, requestId, bodyDigest, tokens });
    this.#options.metrics.count('billedTokens', series, bill.isRepeat ? 0 : bill.tokens);
    this.#options.metrics.count('unbillableTokens', series, bill.unbillableTokens);
    return bill;
  }

  /** Tracks a write that continues after the response, so that a planned stop waits for it. */
  #trackOpenWrite(work: Promise<unknown>): void {
    this.#openWrites += 1;
    const end = () => {
      this.#openWrites -= 1;
    };
    work.then(end, end);
  }

  #deadline(attempt: Attempt, signal: AbortSignal): DeadlineSignal {
    const { clock, longestRequestMs = 600 * millisecondsInSecond } = this.#options;
    const limitMs = Math.min(attempt.classEntry.totalDeadlineMs, longestRequestMs - billMarginMs);
    return new DeadlineSignal(clock, limitMs, signal);
  }
}
