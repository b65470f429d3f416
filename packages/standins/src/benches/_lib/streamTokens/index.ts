/**
 * Streams tokens from an engine directly or through an instance, and measures latencies.
 */
import { createParser } from 'eventsource-parser';
import { request, type Dispatcher } from 'undici';
import {
  benchBudgetFor,
  benchKey,
  benchModel,
  type LoopbackFleet,
} from '../startLoopbackFleet/index.js';

/** Latencies of one stream. */
export interface StreamTimes {
  readonly firstTokenMs: number;
  /** Mean time between two tokens. */
  readonly tokenGapMs: number;
  readonly tokens: number;
}

/** Parameters of one stream. */
export interface StreamRequest {
  readonly dispatcher: Dispatcher;
  readonly key: string;
  readonly maxTokens: number;
}

/** Streams from the engine without the router. */
export function streamFromEngine(
  fleet: LoopbackFleet,
  streamRequest: StreamRequest,
): Promise<StreamTimes> {
  const body = JSON.stringify({
    requestId: streamRequest.key,
    model: benchModel,
    messages: createMessages(streamRequest),
    maxTokens: streamRequest.maxTokens,
    priority: 0,
  });
  const isToken = (data: string) => data.includes('"kind":"token"');
  return stream(`${fleet.engineUrl}/v1/generate`, streamRequest, body, {}, isToken);
}

/** Streams from the engine through the router instance. */
export function streamThroughInstance(
  fleet: LoopbackFleet,
  streamRequest: StreamRequest,
): Promise<StreamTimes> {
  const body = JSON.stringify({
    model: benchModel,
    messages: createMessages(streamRequest),
    max_tokens: streamRequest.maxTokens,
    stream: true,
  });
  const headers = {
    authorization: `Bearer ${benchKey}`,
    'idempotency-key': streamRequest.key,
    'acaciacrank-budget': benchBudgetFor(streamRequest.key),
  };
  const isToken = (data: string) => data.includes('"sequence":');
  return stream(`${fleet.instanceUrl}/v1/chat/completions`, streamRequest, body, headers, isToken);
}

function createMessages({ key }: StreamRequest) {
  return [{ role: 'user', content: `${key} `.padEnd(200, 'broth ') }];
}

async function stream(
  url: string,
  { dispatcher }: StreamRequest,
  body: string,
  headers: Record<string, string>,
  isToken: (data: string) => boolean,
): Promise<StreamTimes> {
  const startedAtMs = performance.now();
  const response = await request(url, { dispatcher, method: 'POST', headers, body });
  if (response.statusCode !== 200)
    throw new Error(`${response.statusCode}: ${await response.body.text()}`);
  let tokens = 0;
  let firstTokenAtMs = startedAtMs;
  let lastTokenAtMs = startedAtMs;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (!isToken(data)) return;
      lastTokenAtMs = performance.now();
      if (tokens === 0) firstTokenAtMs = lastTokenAtMs;
      tokens += 1;
    },
  });
  for await (const chunk of response.body as AsyncIterable<Buffer>)
    parser.feed(chunk.toString('utf8'));
  const tokenGapMs = (lastTokenAtMs - firstTokenAtMs) / Math.max(1, tokens - 1);
  return { firstTokenMs: firstTokenAtMs - startedAtMs, tokenGapMs, tokens };
}
