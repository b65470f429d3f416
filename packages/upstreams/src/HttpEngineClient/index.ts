import { RouterError, withTimeout, type Clock, type RequestId } from '@acaciacrank/base';
import { createParser } from 'eventsource-parser';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import { EngineClient } from '../EngineClient/index.js';
import { ConnectionPool } from '../_lib/ConnectionPool/index.js';
import { engineStateSchema, orderOutcomeSchema } from '../_lib/orderSchemas/index.js';
import { loadReportSchema } from '../_lib/loadReportSchema/index.js';
import { checkRequestId, requestIdHeader } from '../_lib/checkRequestId/index.js';
import { isConnectFailure } from '../_lib/isConnectFailure/index.js';
import { readBackoffMs } from '../readBackoffMs/index.js';
import { controlRequestTimeoutMs, readJson } from '../_lib/readJson/index.js';
import { readText } from '../_lib/readText/index.js';
import type {
  EngineFrame,
  EngineState,
  EngineUsage,
  GenerateRequest,
  LoadReport,
  OrderOutcome,
  OrderRequest,
} from '../types.js';

/** Options of {@link HttpEngineClient}. */
export interface HttpEngineClientOptions {
  /** `http://IP:PORT` of the engine. */
  url: string;
  clock: Clock;
}

/** Statuses of an engine that did not accept the request. */
const refusedStatuses = new Set([400, 401, 403, 404, 405, 413, 414, 415, 422, 429, 431, 503]);
/** Statuses of an engine that does not have the stream. */
const unknownStreamStatuses = new Set([404, 410]);
const maxConnections = 256;
/** Maximum size of what completes no frame, in bytes. */
const maxFrameBytes = 262_144;

const frameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('token'),
    requestId: z.string(),
    sequence: z.number().int(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal('end'),
    requestId: z.string(),
    sequence: z.number().int(),
    finishReason: z.string(),
    promptTokens: z.number().int().nonnegative(),
    outputTokens: z.number().int().nonnegative(),
  }),
]);

const usageSchema = z.object({
  promptTokens: z.number().int().nonnegative(),
  outputTokens: z.number().int().nonnegative(),
});

/** Client for an engine over HTTP with server-sent events. */
export class HttpEngineClient extends EngineClient implements AsyncDisposable {
  readonly #pool: ConnectionPool;
  readonly #clock: Clock;
  readonly #url: string;

  constructor(options: HttpEngineClientOptions) {
    super();
    this.#clock = options.clock;
    this.#url = options.url;
    this.#pool = new ConnectionPool({ clock: options.clock, connections: maxConnections });
  }

  override async *generate(
    generateRequest: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    const body = JSON.stringify(generateRequest);
    const { requestId } = generateRequest;
    const answer = await this.#open('POST', '/v1/generate', signal, { body, requestId });
    checkRequestId(answer, requestId, 'upstreamFailed');
    if (answer.statusCode !== 200) {
      discard(answer);
      // Only these statuses mean that nothing runs: a 500 or 504 may follow after the request was
      // accepted.
      const kind = refusedStatuses.has(answer.statusCode)
        ? 'upstreamUnavailable'
        : 'upstreamFailed';
      const backoffMs = readBackoffMs(answer.statusCode, answer.headers);
      throw new RouterError(kind, `the engine answered ${answer.statusCode}`, { backoffMs });
    }
    yield* readFrames(answer.body);
  }

  override async *resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame> {
    // The pool's other connections may be as dead as the one on which the stream broke off.
    this.#pool.retire();
    const path = `/v1/streams/${encodeURIComponent(requestId)}?offset=${offset}`;
    const answer = await this.#open('GET', path, signal, { requestId });
    checkRequestId(answer, requestId, 'upstreamFailed');
    if (answer.statusCode !== 200) {
      discard(answer);
      const kind = unknownStreamStatuses.has(answer.statusCode) ? 'notFound' : 'upstreamFailed';
      throw new RouterError(kind, `the engine answered ${answer.statusCode} for ${requestId}`);
    }
    yield* readFrames(answer.body);
  }

  override async cancel(requestId: RequestId): Promise<void> {
    const path = `/v1/streams/${encodeURIComponent(requestId)}`;
    const send = (signal: AbortSignal) => this.#open('DELETE', path, signal);
    const what = `cancelling ${requestId}`;
    discard(
      await withTimeout(this.#clock, controlRequestTimeoutMs, send, {
        kind: 'upstreamFailed',
        what,
      }),
    );
  }

  override async readUsage(requestId: RequestId): Promise<EngineUsage> {
    const path = `/v1/streams/${encodeURIComponent(requestId)}/usage`;
    return usageSchema.parse(await readJson(this.#clock, this.#pool, `${this.#url}${path}`));
  }

  override async readLoad(): Promise<LoadReport> {
    const report = await readJson(this.#clock, this.#pool, `${this.#url}/load`);
    return loadReportSchema.parse(report) as LoadReport;
  }

  override async order(orderRequest: OrderRequest, signal: AbortSignal): Promise<OrderOutcome> {
    const answer = await this.#open('POST', '/v1/orders', signal, {
      body: JSON.stringify(orderRequest),
    });
    if (answer.statusCode === 200) {
      return orderOutcomeSchema.parse(JSON.parse(await readText(answer.body)));
    }
    discard(answer);
    throw new RouterError(
      'upstreamFailed',
      `the engine answered an order with status ${answer.statusCode}`,
    );
  }

  override async readState(): Promise<EngineState> {
    const state = await readJson(this.#clock, this.#pool, `${this.#url}/v1/state`);
    return engineStateSchema.parse(state) as EngineState;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#pool[Symbol.asyncDispose]();
  }

  /** Sends a request; it has no timeout of its own and is bounded by the caller's signal. */
  async #open(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    signal: AbortSignal,
    { body, requestId }: { body?: string; requestId?: RequestId } = {},
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(`${this.#url}${path}`, {
        dispatcher: this.#pool.dispatcher,
        method,
        signal,
        headers: {
          'content-type': 'application/json',
          ...(requestId === undefined ? {} : { [requestIdHeader]: requestId }),
        },
        ...(body === undefined ? {} : { body }),
      });
    } catch (error) {
      throw toEngineError(error as Error);
    }
  }
}

/** Discards a response body in the background. */
function discard(answer: Dispatcher.ResponseData): void {
  answer.body.dump().catch(() => undefined);
}

function toEngineError(error: Error): RouterError {
  if (error instanceof RouterError) return error;
  if (isConnectFailure(error)) {
    return new RouterError('upstreamUnavailable', 'the engine cannot be reached', { cause: error });
  }
  return new RouterError('upstreamFailed', 'the connection to the engine broke', { cause: error });
}

async function* readFrames(body: AsyncIterable<Uint8Array>): AsyncIterable<EngineFrame> {
  const ready: EngineFrame[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: (event) => {
      ready.push(frameSchema.parse(JSON.parse(event.data)) as EngineFrame);
    },
  });
  let bytesSinceFrame = 0;
  try {
    for await (const chunk of body) {
      bytesSinceFrame += chunk.byteLength;
      parser.feed(decoder.decode(chunk, { stream: true }));
      if (ready.length > 0) bytesSinceFrame = 0;
      if (bytesSinceFrame > maxFrameBytes)
        throw new RouterError('upstreamFailed', `a frame has more than ${maxFrameBytes} bytes`);
      yield* ready.splice(0);
    }
  } catch (error) {
    throw toEngineError(error as Error);
  }
}
