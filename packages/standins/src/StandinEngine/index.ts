import {
  hashText,
  millisecondsInSecond,
  RouterError,
  type Clock,
  type RequestId,
  type UpstreamId,
} from '@acaciacrank/base';
import type { CacheEvent, EngineFrame, GenerateRequest, LoadReport } from '@acaciacrank/upstreams';
import { StandinControl } from '../StandinControl/index.js';

/** Options of {@link StandinEngine}. */
export interface StandinEngineOptions {
  id: UpstreamId;
  clock: Clock;
  /** Maximum batch size: the number of requests that run at the same time. */
  maxRunningRequests?: number;
  /** Time between two tokens of a stream that runs alone in the batch, in milliseconds. */
  tokenGapMs?: number;
  /** Factor by which the time between tokens grows when the batch is full. */
  fullBatchSlowdown?: number;
  /** Prefill speed, in prompt tokens per second. */
  prefillTokensPerSecond?: number;
  /** Capacity of the prefix cache, in prompt prefixes. */
  cachedPrefixes?: number;
  /** Age of the load report that is returned, in milliseconds. */
  reportLagMs?: number;
  /** Delay after which a cache event becomes visible, in milliseconds. */
  cacheEventLagMs?: number;
  /** One of every N cache events is never published; 0 publishes all. */
  omitEveryNthCacheEvent?: number;
  /** Whether an order whose fencing number is lower than an earlier one is refused. */
  checksFencing?: boolean;
  /** Whether the engine can export its KV cache to another engine before it leaves. */
  offersKvExport?: boolean;
}

/**
 * Simulated failure: `failing` rejects every request immediately and `mute` accepts requests but never
 * responds. In both cases no request enters the batch, so that the reported load is low.
 */
export type EngineFailureMode = 'none' | 'failing' | 'mute';

/** What the engine did for one request; tests compare it with bills and with what callers received. */
export interface EngineRecord {
  readonly requestId: RequestId;
  /** Content of the last message; tests identify the request by it. */
  readonly content: string;
  /** When the engine accepted the request, in milliseconds of the monotonic clock. */
  readonly takenAtMs: number;
  readonly promptTokens: number;
  /** Version of the engine's software; part of each token's text. */
  readonly softwareVersion?: string;
  outputTokens: number;
  state: 'waiting' | 'running' | 'done' | 'cancelled';
  prefixHit: boolean;
}

/** Number of recent cache events that an engine retains for clients that poll late. */
const maxRetainedCacheEvents = 256;

interface EngineStream {
  readonly request: GenerateRequest;
  readonly record: EngineRecord;
  readonly tokens: string[];
  readonly targetTokens: number;
  readonly listeners: Set<() => void>;
}

/**
 * Fake model engine: continuous batching in which the token rate falls as the batch fills, priorities, a
 * prefix cache, resume, cancel, and delayed load reports.
 *
 * A stream continues after its connection breaks, as in engines that can resume a stream.
 */
export class StandinEngine {
  readonly records = new Map<RequestId, EngineRecord>();
  /** Requests that arrived after the engine began to leave, with the time since then, in milliseconds. */
  readonly requestsWhileLeaving: { requestId: RequestId; sinceLeavingMs: number }[] = [];
  /** State that orders change: models, adapters and role. */
  readonly control: StandinControl;
  readonly #options: Required<StandinEngineOptions>;
  readonly #streams = new Map<RequestId, EngineStream>();
  readonly #prefixes = new Map<number, true>();
  readonly #reports: LoadReport[] = [];
  #waiting: EngineStream[] = [];
  #running = 0;
  #state: 'live' | 'leaving' = 'live';
  #leavingSinceMs = 0;
  #cacheEvents: CacheEvent[] = [];
  #cacheSequence = 0;
  #startedAtMs: number;
  #softwareVersion = 'v1';
  /** Factor by which prefill and token generation are slowed down. */
  slowFactor = 1;
  /** Number of requests that it refused since it was overloaded. */
  refusedForOverload = 0;
  #overload = { untilMs: -Infinity, backoffMs: 0 };
  failureMode: EngineFailureMode = 'none';
  /** Number of times that it has ended under a deadly prompt. */
  ends = 0;
  #deadly = { text: '', downMs: 0 };
  #downUntilMs = -Infinity;
  /** Number of times that it has started again. */
  restarts = 0;

  constructor(options: StandinEngineOptions) {
    this.#options = {
      maxRunningRequests: 16,
      tokenGapMs: 20,
      fullBatchSlowdown: 2,
      prefillTokensPerSecond: 4_000,
      cachedPrefixes: 64,
      reportLagMs: 500,
      cacheEventLagMs: 1_000,
      omitEveryNthCacheEvent: 10,
      checksFencing: true,
      offersKvExport: true,
      ...options,
    };
    this.#startedAtMs = this.#options.clock.wallMs();
    this.control = new StandinControl(this.#options);
  }

  get id(): UpstreamId {
    return this.#options.id;
  }

  /** Rejects new requests from now on; streams in progress continue. */
  leave(): void {
    this.#state = 'leaving';
    this.#leavingSinceMs = this.#options.clock.monotonicMs();
  }

  /** Refuses new requests for a while, and asks each time to be sent nothing for the backoff. */
  overload(durationMs: number, backoffMs: number): void {
    this.#overload = { untilMs: this.#options.clock.monotonicMs() + durationMs, backoffMs };
  }

  /**
   * Restarts under the same id; streams, cache, load reports and control state are lost.
   *
   * @param softwareVersion - the version of its software from now on; the same as before by default
   */
  restart(softwareVersion = this.#softwareVersion): void {
    this.restarts += 1;
    this.#softwareVersion = softwareVersion;
    for (const stream of this.#streams.values()) this.cancel(stream.request.requestId);
    this.#streams.clear();
    this.#prefixes.clear();
    this.#reports.length = 0;
    this.#cacheEvents = [];
    this.#cacheSequence = 0;
    this.#state = 'live';
    this.failureMode = 'none';
    this.control.restart();
    this.#startedAtMs = this.#options.clock.wallMs();
  }

  /** Ends from now on under each prompt with a message that contains a text, and is down for a while each time. */
  endUnder(text: string, downMs: number): void {
    this.#deadly = { text, downMs };
  }

  /** Prefix cache events after a sequence number; delayed, and some are omitted. */
  cacheEvents(sinceSequence: number): readonly CacheEvent[] {
    const { clock, cacheEventLagMs, omitEveryNthCacheEvent } = this.#options;
    const untilMs = clock.wallMs() - cacheEventLagMs;
    return this.#cacheEvents.filter(
      ({ sequence, atMs }) =>
        sequence > sinceSequence &&
        atMs <= untilMs &&
        (omitEveryNthCacheEvent === 0 || sequence % omitEveryNthCacheEvent !== 0),
    );
  }

  /**
   * Accepts a generation request; its frames are read with {@link frames}.
   *
   * @throws RouterError `upstreamUnavailable` if the engine is leaving or down, `upstreamFailed` if it simulates
   *   failures or ends under the request
   */
  submit(request: GenerateRequest): void {
    this.#checkUp();
    const { text } = this.#deadly;
    if (text !== '' && request.messages.some(({ content }) => content.includes(text))) this.#end();
    if (this.#streams.has(request.requestId)) return;
    if (this.#state === 'leaving') {
      const sinceLeavingMs = this.#options.clock.monotonicMs() - this.#leavingSinceMs;
      this.requestsWhileLeaving.push({ requestId: request.requestId, sinceLeavingMs });
      throw new RouterError('upstreamUnavailable', `${this.id} is leaving`);
    }
    if (this.#options.clock.monotonicMs() < this.#overload.untilMs) {
      this.refusedForOverload += 1;
      const { backoffMs } = this.#overload;
      throw new RouterError('upstreamUnavailable', `${this.id} is overloaded`, { backoffMs });
    }
    if (this.failureMode === 'failing') {
      throw new RouterError('upstreamFailed', `${this.id} simulates failure of every request`);
    }
    const stream = this.#createStream(request);
    this.#streams.set(request.requestId, stream);
    this.records.set(request.requestId, stream.record);
    if (this.failureMode === 'mute') return;
    this.#waiting.push(stream);
    this.#fillBatch();
  }

  /**
   * Yields the frames of a stream from an offset on, as they are generated.
   *
   * @throws RouterError `notFound` if the engine has no such stream
   */
  async *frames(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    this.#checkUp();
    const stream = this.#streams.get(requestId);
    if (stream === undefined)
      throw new RouterError('notFound', `${this.id} has no stream for request ${requestId}`);
    let sequence = offset;
    while (!signal.aborted) {
      const text = stream.tokens[sequence];
      if (text !== undefined) {
        yield { kind: 'token', requestId, sequence, text };
        sequence += 1;
      } else if (stream.record.state === 'done') {
        yield endFrame(stream);
        return;
      } else if (stream.record.state === 'cancelled') {
        return;
      } else {
        await waitForUpdate(stream, signal);
      }
    }
  }

  /** Cancels a generation; idempotent. */
  cancel(requestId: RequestId): void {
    const stream = this.#streams.get(requestId);
    if (stream === undefined || stream.record.state === 'done') return;
    stream.record.state = 'cancelled';
    this.#waiting = this.#waiting.filter((other) => other !== stream);
    notify(stream);
  }

  /** Returns the load as it was `reportLagMs` ago. */
  load(): LoadReport {
    this.#checkUp();
    const { clock, reportLagMs, maxRunningRequests } = this.#options;
    const nowMs = clock.wallMs();
    this.#reports.push({
      upstreamId: this.id,
      state: this.#state,
      runningRequests: this.#running,
      waitingRequests: this.#waiting.length,
      maxRunningRequests,
      measuredAtMs: nowMs,
      startedAtMs: this.#startedAtMs,
    });
    while ((this.#reports[1]?.measuredAtMs ?? Infinity) <= nowMs - reportLagMs)
      this.#reports.shift();
    const [report] = this.#reports;
    if (report === undefined) throw new RouterError('internal', 'no load report available');
    return report;
  }

  #checkUp(): void {
    if (this.#options.clock.monotonicMs() >= this.#downUntilMs) return;
    throw new RouterError('upstreamUnavailable', `${this.id} is down`);
  }

  /** All streams are lost, and new connections are refused until it has started again. */
  #end(): never {
    this.ends += 1;
    this.restart();
    this.#downUntilMs = this.#options.clock.monotonicMs() + this.#deadly.downMs;
    throw new RouterError('upstreamFailed', `${this.id} has ended`);
  }

  #createStream(request: GenerateRequest): EngineStream {
    const text = request.messages.map((message) => message.content).join('\n');
    const bytes = request.messages.reduce(
      (sum, { content }) => sum + Buffer.byteLength(content),
      0,
    );
    const record: EngineRecord = {
      requestId: request.requestId,
      content: request.messages.at(-1)?.content ?? '',
      takenAtMs: this.#options.clock.monotonicMs(),
      promptTokens: Math.ceil(bytes / 4),
      softwareVersion: this.#softwareVersion,
      outputTokens: 0,
      state: 'waiting',
      prefixHit: false,
    };
    const targetTokens = 1 + (hashText(text) % request.maxTokens);
    return { request, record, tokens: [], targetTokens, listeners: new Set() };
  }

  #fillBatch(): void {
    while (this.#running < this.#options.maxRunningRequests && this.#waiting.length > 0) {
      const mostUrgentPriority = Math.min(...this.#waiting.map(({ request }) => request.priority));
      const index = this.#waiting.findIndex(
        ({ request }) => request.priority === mostUrgentPriority,
      );
      const [next] = this.#waiting.splice(index, 1);
      if (next === undefined) return;
      this.#running += 1;
      void this.#run(next);
    }
  }

  async #run(stream: EngineStream): Promise<void> {
    const { clock } = this.#options;
    const { record } = stream;
    record.state = 'running';
    await clock.sleep(this.#prefillMs(stream));
    // Re-evaluated on each call: cancel() changes the state during an await, which type narrowing ignores.
    const isRunning = () => record.state === 'running';
    while (isRunning() && record.outputTokens < stream.targetTokens) {
      await clock.sleep(this.#gapMs());
      if (!isRunning()) break;
      stream.tokens.push(tokenText(record.requestId, record.outputTokens, record.softwareVersion));
      record.outputTokens += 1;
      notify(stream);
    }
    if (isRunning()) record.state = 'done';
    notify(stream);
    this.#running -= 1;
    this.#fillBatch();
  }

  #prefillMs(stream: EngineStream): number {
    const [first] = stream.request.messages;
    const prefix = hashText(first?.content ?? '');
    stream.record.prefixHit = this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, true);
    if (!stream.record.prefixHit) this.#recordCacheEvent('stored', prefix);
    const [oldest] = this.#prefixes.keys();
    if (this.#prefixes.size > this.#options.cachedPrefixes && oldest !== undefined) {
      this.#prefixes.delete(oldest);
      this.#recordCacheEvent('evicted', oldest);
    }
    const prefixTokens = Math.ceil(Buffer.byteLength(first?.content ?? '') / 4);
    const savedTokens = stream.record.prefixHit ? prefixTokens : 0;
    const tokens = Math.max(1, stream.record.promptTokens - savedTokens);
    const seconds = tokens / this.#options.prefillTokensPerSecond;
    return seconds * millisecondsInSecond * this.slowFactor;
  }

  #recordCacheEvent(kind: CacheEvent['kind'], prefixHash: number): void {
    this.#cacheSequence += 1;
    const atMs = this.#options.clock.wallMs();
    this.#cacheEvents.push({ kind, prefixHash, sequence: this.#cacheSequence, atMs });
    if (this.#cacheEvents.length > maxRetainedCacheEvents) this.#cacheEvents.shift();
  }

  #gapMs(): number {
    const { tokenGapMs, fullBatchSlowdown, maxRunningRequests } = this.#options;
    const fill = this.#running / maxRunningRequests;
    return tokenGapMs * (1 + (fullBatchSlowdown - 1) * fill) * this.slowFactor;
  }
}

/**
 * Returns the text of one token. It is deterministic, so that tests can tell a complete answer from one
 * that contains tokens of another generation.
 *
 * @param requestId - the generation
 * @param sequence - index of the token in the generation
 * @param softwareVersion - version of the software that generates it
 *
 * @example
 * tokenText(requestId, 0) === tokenText(requestId, 0);
 * //=> true
 */
export function tokenText(requestId: RequestId, sequence: number, softwareVersion = 'v1'): string {
  const suffix = softwareVersion === 'v1' ? '' : softwareVersion;
  return `w${hashText(`${requestId}${sequence}${suffix}`) % 1000} `;
}

function endFrame(stream: EngineStream): EngineFrame {
  return {
    kind: 'end',
    requestId: stream.record.requestId,
    sequence: stream.tokens.length,
    finishReason: stream.tokens.length < stream.request.maxTokens ? 'stop' : 'length',
    promptTokens: stream.record.promptTokens,
    outputTokens: stream.tokens.length,
  };
}

function notify(stream: EngineStream): void {
  for (const listener of stream.listeners) listener();
}

function waitForUpdate(stream: EngineStream, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      stream.listeners.delete(done);
      signal.removeEventListener('abort', done);
      resolve();
    };
    stream.listeners.add(done);
    signal.addEventListener('abort', done, { once: true });
  });
}
