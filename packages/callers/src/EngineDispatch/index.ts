import { RouterError, type ClassName, type RequestId, type ServiceName } from '@acaciacrank/base';
import type { Upstream, InFlightRequest } from '@acaciacrank/routing';
import {
  checkFrames,
  watchProgress,
  type EngineClient,
  type EngineFrame,
  type EngineUsage,
  type GenerateRequest,
} from '@acaciacrank/upstreams';
import { toPossiblyRunError } from '../_lib/toPossiblyRunError/index.js';
import type { RequestQuarantine } from '../RequestQuarantine/index.js';
import { SuspectTracker } from '../_lib/SuspectTracker/index.js';
import { UpstreamPicker, type UpstreamPickerOptions } from '../_lib/UpstreamPicker/index.js';

/** Options of {@link EngineDispatch}. */
export interface EngineDispatchOptions extends UpstreamPickerOptions {
  quarantine: RequestQuarantine;
}

/** One generation to run at any suitable engine. */
export interface GenerationTask {
  readonly request: GenerateRequest;
  /** Names what is asked for, the same for all attempts to generate it. */
  readonly digest: string;
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
 * Gets one complete stream from an engine. Resumes the stream if it breaks off or stalls, and tries
 * another engine only as long as no token has been forwarded.
 */
export class EngineDispatch {
  readonly #options: EngineDispatchOptions;

  constructor(options: EngineDispatchOptions) {
    this.#options = options;
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
    const { digest, service, firstTokenDueMs: dueMs } = task;
    const tracker = new SuspectTracker({ ...this.#options, request: { digest, service }, dueMs });
    let lastError: RouterError | undefined;
    for (;;) {
      const upstream = await tracker.next(picker);
      if (upstream === undefined) break;
      try {
        yield* this.#streamFrom(upstream, task, outcome, signal);
        tracker.recordAnswered();
        return;
      } catch (error) {
        if (!(error instanceof RouterError)) throw error;
        lastError = error;
        this.#options.metrics.count('upstreamFailures', upstream.id);
        if (outcome.mayHaveRun) await tracker.recordFailure(upstream);
        else tracker.recordNotRun();
        // Answers are never spliced: once a token has been forwarded, only the same stream may
        // continue.
        if (outcome.forwardedTokens > 0 || signal.aborted) break;
      }
    }
    const error =
      lastError ?? new RouterError('upstreamUnavailable', 'no live upstream has the model');
    throw outcome.mayHaveRun ? toPossiblyRunError(error) : error;
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
    const open = (connection: AbortSignal) =>
      isFirst
        ? engine.generate(request, connection)
        : engine.resume(request.requestId, state.nextSequence, connection);
    const limitMs = () => this.#progressTimeoutMs(engine, task, state);
    try {
      const frames = watchProgress(open, { clock, limitMs, signal });
      for await (const frame of checkFrames(frames, request.requestId, state.nextSequence)) {
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
   * Doubles with each consecutive failure, so that an engine that has merely become slow is not
   * resumed over and over. Until the first token is overdue, half of the remaining time is kept for
   * another attempt.
   */
  #progressTimeoutMs(engine: EngineClient, task: GenerationTask, state: StreamState): number {
    const factor = 2 ** state.consecutiveFailures;
    if (state.nextSequence > 0) return engine.tokenGapTimeout.limitMs() * factor;
    const learnedTimeoutMs = engine.firstTokenTimeout.limitMs() * factor;
    const remainingMs = task.firstTokenDueMs - this.#options.clock.monotonicMs();
    if (remainingMs <= 0) return learnedTimeoutMs;
    return Math.min(learnedTimeoutMs, Math.max(minFirstTokenTimeoutMs, remainingMs / 2));
  }
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
