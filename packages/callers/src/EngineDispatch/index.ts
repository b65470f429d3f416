import { RouterError, type ClassName, type RequestId, type ServiceName } from '@acaciacrank/base';
import {
  HedgedAttempts,
  SendGate,
  SilenceProbes,
  type EndedContender,
  type InFlightRequest,
  type Upstream,
} from '@acaciacrank/routing';
import {
  checkFrames,
  hedgeReads,
  type EngineClient,
  type EngineFrame,
  type EngineUsage,
  type GenerateRequest,
} from '@acaciacrank/upstreams';
import {
  EngineAttempt,
  rankOfStart,
  SupersededError,
  type EngineStart,
} from '../_lib/EngineAttempt/index.js';
import { HedgeSchedule } from '../_lib/HedgeSchedule/index.js';
import { toPossiblyRunError } from '../_lib/toPossiblyRunError/index.js';
import { abortReason } from '../_lib/untilAborted/index.js';
import type { RequestFeatures, RequestQuarantine } from '../RequestQuarantine/index.js';
import { SuspectTracker } from '../_lib/SuspectTracker/index.js';
import { UpstreamPicker, type UpstreamPickerOptions } from '../_lib/UpstreamPicker/index.js';

/** Options of {@link EngineDispatch}. */
export interface EngineDispatchOptions extends UpstreamPickerOptions {
  quarantine: RequestQuarantine;
}

/** One generation to run at any suitable engine. */
export interface GenerationTask {
  readonly request: GenerateRequest;
  /** What it has in common with other generations. */
  readonly features: RequestFeatures;
  readonly service: ServiceName;
  readonly className: ClassName;
  /** Hash of the start of the prompt, for prefix affinity. */
  readonly prefixHash: number;
  /** When the first token is due, by the monotonic clock; no other upstream is tried after it. */
  readonly firstTokenDueMs: number;
  /** Checked before each dispatch: whether the reserved tokens may still be spent. */
  readonly isSpendable: () => boolean;
  /** Called with the usage of a generation that was cancelled, if the engine reports it. */
  readonly onCancelled: (usage: Promise<EngineUsage | undefined>) => void;
}

/** What is known about the request across all upstreams tried. */
interface DispatchOutcome {
  /** Whether an engine may have accepted the request; if so, no error reports it as `notRun`. */
  mayHaveRun: boolean;
  forwardedTokens: number;
}

/** Maximum number of times in a row that a stream is resumed without any progress. */
const maxConsecutiveFailures = 3;
/** Base of the jittered exponential backoff before a stream is resumed, in milliseconds. */
const resumeBackoffMs = 50;
/**
 * Minimum time that an engine gets for its first token, however near the deadline, in milliseconds.
 */
const minFirstTokenTimeoutMs = 250;

/** Counted against an engine that was silent until another one had answered. */
const outrun = new RouterError('upstreamFailed', 'another engine has answered first');

/** The state of one stream. */
interface StreamState {
  readonly outcome: DispatchOutcome;
  readonly dispatchedMs: number;
  /** Sequence number of the next expected token. */
  nextSequence: number;
  consecutiveFailures: number;
  lastProgressMs: number;
  isEnded: boolean;
}

/**
 * Gets one complete stream from an engine. Resumes the stream if it breaks off, and beside itself if it stalls; tries
 * another engine only as long as no token has been forwarded, beside the first one if that is silent.
 */
export class EngineDispatch {
  readonly #options: EngineDispatchOptions;
  readonly #probes = new SilenceProbes();
  readonly #sendGate: SendGate;

  constructor(options: EngineDispatchOptions) {
    this.#options = options;
    this.#sendGate = new SendGate(options);
  }

  /**
   * Streams one generation.
   *
   * @param task - what to generate
   * @param signal - aborts the generation, which is then cancelled at the engine
   * @returns the frames of one engine's answer, in order and without gaps, up to its end
   * @throws RouterError whose `ran` is `notRun` only if no engine can have accepted the request
   */
  async *stream(task: GenerationTask, signal: AbortSignal): AsyncIterable<EngineFrame> {
    const picker = new UpstreamPicker(this.#options, { ...task, dueMs: task.firstTokenDueMs });
    const outcome: DispatchOutcome = { mayHaveRun: false, forwardedTokens: 0 };
    const { features, firstTokenDueMs: dueMs } = task;
    const tracker = new SuspectTracker({ ...this.#options, features, dueMs });
    let lastError: RouterError | undefined;
    for (;;) {
      const upstream = await tracker.next(picker);
      if (upstream === undefined) break;
      const open = (next: Upstream) =>
        new EngineAttempt(next, (superseded) =>
          this.#streamFrom(next, task, outcome, AbortSignal.any([signal, superseded])),
        );
      const { contender, result } = await this.#begin(open, upstream, task, picker, (failed) =>
        this.#recordFailure(failed, tracker, outcome),
      );
      try {
        if (result.kind !== 'begun') throw errorOf(result);
        tracker.recordBegun();
        yield* contender.frames(result.first);
        tracker.recordAnswered();
        return;
      } catch (error) {
        if (!(error instanceof RouterError)) throw error;
        lastError = error;
        if (result.kind === 'begun') await this.#recordFailure(contender, tracker, outcome);
        // Answers are never spliced: once a token has been forwarded, only the same stream may
        // continue.
        if (outcome.forwardedTokens > 0 || signal.aborted) break;
      }
    }
    const error =
      lastError ?? new RouterError('upstreamUnavailable', 'no live upstream has the model');
    throw outcome.mayHaveRun ? toPossiblyRunError(error) : error;
  }

  /**
   * Sends the request to an engine, and to others beside it while nothing arrives. Returns the one that gave its first
   * frame first, or a failure once all have failed.
   */
  async #begin(
    open: (upstream: Upstream) => EngineAttempt,
    upstream: Upstream,
    task: GenerationTask,
    picker: UpstreamPicker,
    recordFailure: (failed: EngineAttempt) => Promise<void>,
  ): Promise<EndedContender<EngineAttempt, EngineStart>> {
    const { quarantine } = this.#options;
    const failures: Promise<void>[] = [];
    const attempts = new HedgedAttempts<EngineAttempt, EngineStart>({
      onEnded: ({ contender, result }) => {
        if (result.kind === 'failed') failures.push(recordFailure(contender));
      },
      rankOf: rankOfStart,
      toFailure: (error) => ({ kind: 'failed', error }),
    });
    attempts.add(open(upstream));
    const hedges = new HedgeSchedule({
      ...this.#options,
      probes: this.#probes,
      picker,
      service: task.service,
      isRepeatable: true,
      endCount: () => quarantine.crashCountOf(task.features),
      waitMs: () => this.#hedgeWaitMs(task),
      start: (next) => {
        const attempt = open(next);
        attempts.add(attempt);
        return attempt.ended;
      },
    });
    const ended = await attempts.result();
    hedges[Symbol.dispose]();
    if (ended.result.kind !== 'begun') await Promise.all(failures);
    return ended;
  }

  async #recordFailure(
    { upstream }: EngineAttempt,
    tracker: SuspectTracker,
    { mayHaveRun }: DispatchOutcome,
  ): Promise<void> {
    this.#options.metrics.count('upstreamFailures', upstream.id);
    if (mayHaveRun) await tracker.recordFailure(upstream);
    else tracker.recordNotRun();
  }

  /** Half of the time to the first-token deadline, so that another engine can still answer in time. */
  #hedgeWaitMs({ firstTokenDueMs }: GenerationTask): number | undefined {
    const remainingMs = firstTokenDueMs - this.#options.clock.monotonicMs();
    return remainingMs <= 0 ? undefined : Math.max(minFirstTokenTimeoutMs, remainingMs / 2);
  }

  async *#streamFrom(
    upstream: Upstream,
    task: GenerationTask,
    outcome: DispatchOutcome,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const { registry, clock } = this.#options;
    const { engine } = upstream;
    if (engine === undefined) throw new RouterError('internal', `${upstream.id} is not an engine`);
    if (this.#sendGate.isLate) await this.#sendGate.enter();
    if (signal.aborted) throw abortReason(signal);
    if (!task.isSpendable()) {
      const what = 'the grant expired before the request was dispatched';
      throw new RouterError('storeUnavailable', what, { ran: 'notRun' });
    }
    using inFlight = registry.begin(upstream, task.request.priority);
    const nowMs = clock.monotonicMs();
    const state: StreamState = {
      outcome,
      dispatchedMs: nowMs,
      nextSequence: 0,
      consecutiveFailures: 0,
      lastProgressMs: nowMs,
      isEnded: false,
    };
    try {
      while (!state.isEnded) yield* this.#streamConnection(engine, task, state, inFlight, signal);
    } finally {
      // A generation without a reader must not keep occupying a slot at the engine.
      if (signal.reason instanceof SupersededError) inFlight.failed(outrun);
      if (!state.isEnded) task.onCancelled(cancelAndReadUsage(engine, task.request.requestId));
    }
  }

  /**
   * Reads from one connection until the stream ends or the connection fails. Returns after the
   * backoff if the stream should be resumed on another connection; otherwise throws the error.
   */
  async *#streamConnection(
    engine: EngineClient,
    task: GenerationTask,
    state: StreamState,
    inFlight: InFlightRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const { clock, metrics, random } = this.#options;
    const { request } = task;
    const isFirst = state.consecutiveFailures === 0 && state.nextSequence === 0;
    const { requestId } = request;
    const check = (frames: AsyncIterable<EngineFrame>) =>
      checkFrames(frames, requestId, state.nextSequence);
    const resume = (connection: AbortSignal) =>
      check(engine.resume(requestId, state.nextSequence, connection));
    const frames = hedgeReads({
      clock,
      open: isFirst ? (connection) => check(engine.generate(request, connection)) : resume,
      reopen: resume,
      limitMs: (resumedInVain) => this.#silenceLimitMs(engine, task, state, resumedInVain),
      onSilent: () => {
        metrics.count('resumes');
      },
      signal,
    });
    try {
      for await (const frame of frames) {
        assertWithinMaxTokens(task, frame);
        inFlight.progress();
        this.#recordProgress(engine, state, frame);
        yield frame;
      }
    } catch (thrown) {
      const error = toStreamError(thrown);
      const isRefused = error instanceof RouterError && error.kind === 'upstreamUnavailable';
      // Only if the first connection is refused is it certain that this engine runs nothing.
      if (!(isFirst && isRefused)) state.outcome.mayHaveRun = true;
      state.consecutiveFailures += 1;
      if (error instanceof RouterError && !signal.aborted) inFlight.failed(error);
      if (signal.aborted || !isResumable(thrown, isFirst)) throw error;
      if (
        state.consecutiveFailures > maxConsecutiveFailures ||
        this.#shouldTryAnotherEngine(task, state)
      )
        throw error;
      metrics.count('resumes');
      await clock.sleep(resumeBackoffMs * 2 ** state.consecutiveFailures * random(), signal);
    }
  }

  #recordProgress(engine: EngineClient, state: StreamState, frame: EngineFrame): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (frame.kind === 'end') {
      state.isEnded = true;
      return;
    }
    if (state.nextSequence === 0) engine.firstTokenTimeout.observe(nowMs - state.dispatchedMs);
    else engine.tokenGapTimeout.observe(nowMs - state.lastProgressMs);
    state.nextSequence = frame.sequence + 1;
    state.lastProgressMs = nowMs;
    state.consecutiveFailures = 0;
    state.outcome.mayHaveRun = true;
    state.outcome.forwardedTokens += 1;
  }

  /**
   * Whether half of the time to the first-token deadline has passed without a token. Resuming at
   * the same engine would use up the time in which another engine can still answer.
   */
  #shouldTryAnotherEngine(task: GenerationTask, state: StreamState): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    const elapsedMs = nowMs - state.dispatchedMs;
    const remainingMs = task.firstTokenDueMs - nowMs;
    return state.nextSequence === 0 && remainingMs > 0 && elapsedMs >= remainingMs;
  }

  /**
   * After how long without a token another connection is opened. Doubles with each connection in vain, so that an
   * engine that has merely become slow is not resumed over and over. Until the first token is overdue, half of the
   * remaining time is kept for another attempt.
   */
  #silenceLimitMs(
    engine: EngineClient,
    task: GenerationTask,
    state: StreamState,
    resumedInVain: number,
  ): number {
    const factor = 2 ** (state.consecutiveFailures + resumedInVain);
    if (state.nextSequence > 0) return engine.tokenGapTimeout.limitMs() * factor;
    const learnedTimeoutMs = engine.firstTokenTimeout.limitMs() * factor;
    const remainingMs = task.firstTokenDueMs - this.#options.clock.monotonicMs();
    if (remainingMs <= 0) return learnedTimeoutMs;
    return Math.min(learnedTimeoutMs, Math.max(minFirstTokenTimeoutMs, remainingMs / 2));
  }
}

function errorOf(start: Exclude<EngineStart, { kind: 'begun' }>): unknown {
  return start.kind === 'failed' ? start.error : outrun;
}

/**
 * Guards against telling a caller that its request names something unknown: it is the engine that does not know the
 * stream any more, since it has started again, maybe with other software.
 */
function toStreamError(thrown: unknown): unknown {
  if (!(thrown instanceof RouterError) || thrown.kind !== 'notFound') return thrown;
  return new RouterError('upstreamFailed', 'the engine no longer has the stream', {
    cause: thrown,
  });
}

/**
 * Whether the same engine may still have the stream. If the first connection was never established,
 * no stream was started; a later connection failure only means that the engine is unreachable for
 * now.
 */
function isResumable(error: unknown, isFirst: boolean): boolean {
  if (!(error instanceof RouterError)) return false;
  if (error.kind === 'upstreamUnavailable') return !isFirst;
  return error.kind === 'upstreamFailed';
}

/**
 * Guards against an engine that never stops: it would fill the instance's memory with unpaid
 * tokens.
 */
function assertWithinMaxTokens({ request }: GenerationTask, frame: EngineFrame): void {
  if (frame.kind === 'end' || frame.sequence < request.maxTokens) return;
  throw new RouterError('upstreamFailed', `the engine sent more than ${request.maxTokens} tokens`);
}

async function cancelAndReadUsage(
  engine: EngineClient,
  requestId: RequestId,
): Promise<EngineUsage | undefined> {
  await engine.cancel(requestId).catch(() => undefined);
  return engine.readUsage(requestId).catch(() => undefined);
}
