import {
  bytesInKibibyte,
  bytesInMebibyte,
  describeError,
  millisecondsInSecond,
  parseId,
  RouterError,
  SystemClock,
  type BudgetId,
  type ClassName,
  type Clock,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { ServiceAnswer } from '@acaciacrank/upstreams';
import { randomUUID } from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { ByteBudget, type HeldBytes } from '../ByteBudget/index.js';
import { CallerWriter } from '../CallerWriter/index.js';
import { endToEndHeaders } from '../endToEndHeaders/index.js';
import { readBody } from '../readBody/index.js';
import { errorBody, writeError } from '../writeError/index.js';
import type { ChatHandler } from '../ChatHandler/index.js';
import { parseChatCall } from '../parseChatCall/index.js';
import type { ServiceHandler } from '../ServiceHandler/index.js';
import type { CallIdentity, ChatCall, ChatFinalFrame, ChatFrame } from '../types.js';

/** The directory's answer. */
export interface DirectoryAnswer {
  readonly instances: readonly Pick<ListedInstance, 'id' | 'url' | 'failureDomain'>[];
  /** How long the answer may be kept, in milliseconds. */
  readonly keepMs: number;
}

/** Options of {@link createCallerServer}. */
export interface CreateCallerServerOptions {
  chat: Pick<ChatHandler, 'run'>;
  services: Pick<ServiceHandler, 'run'>;
  metrics: Metrics;
  /** Answers the directory for a caller's key and, when it says so, where it is. */
  directory: (accountKey: string | undefined, near: string | undefined) => DirectoryAnswer;
  /** Whether the instance takes new work. */
  isAccepting: () => boolean;
  /** Bounds that replace {@link defaultCallerLimits}. */
  limits?: Partial<CallerLimits>;
  /** Measures how long a caller reads nothing. */
  clock?: Clock;
  /** Spreads the times at which refused callers come back. */
  random?: Random;
}

/** What callers may take of an instance. */
export interface CallerLimits {
  readonly maxConnections: number;
  readonly maxHeaderBytes: number;
  readonly maxHeaders: number;
  /** The largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** All bodies and answers held at once, in bytes. */
  readonly maxHeldBytes: number;
  /** How long the headers of a request may take to arrive, in milliseconds. */
  readonly headersLimitMs: number;
  /** How long a whole request may take to arrive, in milliseconds. */
  readonly requestLimitMs: number;
  /** How long a connection may lie idle between two requests, in milliseconds. */
  readonly idleLimitMs: number;
  /** How long a caller may read nothing while something waits for it, in milliseconds. */
  readonly stallLimitMs: number;
}

/** The bounds of an instance of 256 MiB. */
export const defaultCallerLimits: CallerLimits = {
  maxConnections: 10_000,
  maxHeaderBytes: 16 * bytesInKibibyte,
  maxHeaders: 100,
  maxBodyBytes: bytesInMebibyte,
  maxHeldBytes: 64 * bytesInMebibyte,
  headersLimitMs: 10 * millisecondsInSecond,
  requestLimitMs: 30 * millisecondsInSecond,
  idleLimitMs: 5 * millisecondsInSecond,
  stallLimitMs: 30 * millisecondsInSecond,
};

/** What all requests of one server share. */
interface ServerParts extends CreateCallerServerOptions {
  readonly limits: CallerLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly bodies: ByteBudget;
}

/**
 * The HTTP server that callers speak to.
 *
 * @param options - the handlers behind it
 * @returns a server that does not listen yet
 *
 * @example
 * createCallerServer(options).listen(8080, '10.0.0.5');
 */
export function createCallerServer(options: CreateCallerServerOptions): Server {
  const limits = { ...defaultCallerLimits, ...options.limits };
  const parts: ServerParts = {
    clock: new SystemClock(),
    random: Math.random,
    ...options,
    limits,
    bodies: new ByteBudget(limits.maxHeldBytes),
  };
  const server = createServer(serverOptions(limits), (request, response) => {
    // A write that races with the caller's leaving shows here; the close event ends the work.
    response.on('error', () => undefined);
    route(parts, request, response).catch((thrown: unknown) => {
      const error = describeError(thrown);
      options.metrics.count('refused', error.kind);
      if (!response.headersSent) writeError(response, error, parts.random);
      else response.destroy();
    });
  });
  server.maxConnections = limits.maxConnections;
  server.maxHeadersCount = limits.maxHeaders;
  server.on('drop', () => {
    options.metrics.count('connectionsDropped');
  });
  return server;
}

/**
 * A sender that is slow on purpose or silent holds its connection no longer than these limits.
 * Probes of the operating system find a caller that is gone while nothing is written to it.
 */
function serverOptions(limits: CallerLimits): ServerOptions {
  return {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersLimitMs,
    requestTimeout: limits.requestLimitMs,
    keepAliveTimeout: limits.idleLimitMs,
    connectionsCheckingInterval: Math.min(millisecondsInSecond, limits.headersLimitMs),
    keepAlive: true,
    keepAliveInitialDelay: limits.stallLimitMs,
  };
}

async function route(
  options: ServerParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://instance');
  if (url.pathname === '/health') {
    writeJson(response, options.isAccepting() ? 200 : 503, { accepting: options.isAccepting() });
    return;
  }
  if (url.pathname === '/directory') {
    const near = url.searchParams.get('near') ?? undefined;
    writeJson(response, 200, options.directory(accountKeyOf(request), near));
    return;
  }
  if (!options.isAccepting()) throw new RouterError('instanceLeaving', 'this instance is leaving');
  if (url.pathname === '/v1/chat/completions' && request.method === 'POST') {
    await answerChat(options, request, response);
    return;
  }
  if (url.pathname.startsWith('/services/')) {
    await answerService(options, url, request, response);
    return;
  }
  throw new RouterError('notFound', `there is nothing at ${url.pathname}`);
}

async function answerChat(
  options: ServerParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const identity = identityOf(request);
  const body = await readBody(request, options.limits.maxBodyBytes, holdBytes(options, response));
  const { call, isStreamed } = parseChatCall(identity, body.toString('utf8'));
  const frames = options.chat.run(call, closeSignal(response));
  if (isStreamed) await writeStream(options, response, call, frames);
  else await writeWhole(response, call, frames);
}

async function writeStream(
  options: ServerParts,
  response: ServerResponse,
  call: ChatCall,
  frames: AsyncIterable<ChatFrame>,
): Promise<void> {
  const writer = writerOf(options, response);
  try {
    for await (const frame of frames) {
      if (!response.headersSent) writeStreamHead(response, call);
      await writer.write(eventOf(chunkOf(call, frame)));
    }
    await writer.write(eventOf('[DONE]'));
    await writer.end();
  } catch (thrown) {
    if (!response.headersSent) throw thrown;
    // The head is out, so the error travels as an event and no final frame follows it.
    const error = describeError(thrown);
    options.metrics.count('brokenOff', error.kind);
    await writer.write(eventOf(JSON.stringify(errorBody(error, options.random))));
    await writer.end();
  }
}

async function writeWhole(
  response: ServerResponse,
  call: ChatCall,
  frames: AsyncIterable<ChatFrame>,
): Promise<void> {
  let content = '';
  let final: ChatFinalFrame | undefined;
  for await (const frame of frames) {
    if (frame.kind === 'token') content += frame.text;
    else final = frame;
  }
  if (final === undefined) throw new RouterError('upstreamFailed', 'the answer had no end');
  response.setHeader('idempotency-key', call.idempotencyKey);
  writeJson(response, 200, {
    id: final.requestId,
    object: 'chat.completion',
    model: call.model,
    choices: [
      { index: 0, message: { role: 'assistant', content }, finish_reason: final.finishReason },
    ],
    ...usageOf(final),
  });
}

function writeStreamHead(response: ServerResponse, call: ChatCall): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'idempotency-key': call.idempotencyKey,
  });
}

function chunkOf(call: ChatCall, frame: ChatFrame): string {
  const isFinal = frame.kind === 'final';
  const delta = isFinal ? {} : { content: frame.text };
  return JSON.stringify({
    id: frame.requestId,
    object: 'chat.completion.chunk',
    model: call.model,
    choices: [{ index: 0, delta, finish_reason: isFinal ? frame.finishReason : null }],
    ...(isFinal ? usageOf(frame) : { sequence: frame.sequence }),
  });
}

function usageOf(final: ChatFinalFrame) {
  return {
    usage: {
      prompt_tokens: final.promptTokens,
      completion_tokens: final.outputTokens,
      total_tokens: final.promptTokens + final.outputTokens,
    },
    acaciacrank: { billedTokens: final.billedTokens, isRepeat: final.isRepeat },
  };
}

async function answerService(
  options: ServerParts,
  url: URL,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const [, , service = '', ...rest] = url.pathname.split('/');
  const identity = identityOf(request);
  const held = holdBytes(options, response);
  const body = await readBody(request, options.limits.maxBodyBytes, held);
  const call = {
    ...identity,
    service,
    method: request.method ?? 'GET',
    path: `/${rest.join('/')}${url.search}`,
    headers: passedOnHeaders(request),
    body,
  };
  const answer = await options.services.run(call, closeSignal(response));
  held.add(answer.body.byteLength);
  const headers: OutgoingHttpHeaders = endToEndHeaders(answer.headers);
  const length = lengthOf(answer, request.method);
  if (length !== undefined) headers['content-length'] = length;
  response.writeHead(answer.status, headers);
  await writerOf(options, response).end(answer.body);
}

/** An answer to HEAD says how long its body would be; 204 and 304 have none to speak of. */
function lengthOf(answer: ServiceAnswer, method: string | undefined): string | undefined {
  const { 'content-length': told } = answer.headers;
  if (method === 'HEAD') return typeof told === 'string' ? told : undefined;
  if (answer.status === 204 || answer.status === 304) return undefined;
  return String(answer.body.byteLength);
}

function passedOnHeaders(request: IncomingMessage): Record<string, string> {
  const entries = Object.entries(endToEndHeaders(request.headers));
  return Object.fromEntries(entries.map(([name, value]) => [name, String(value)]));
}

function identityOf(request: IncomingMessage): CallIdentity {
  const className = headerOf(request, 'acaciacrank-class');
  return {
    accountKey: accountKeyOf(request),
    budgetId: parseId<BudgetId>(headerOf(request, 'acaciacrank-budget'), 'budget'),
    idempotencyKey: headerOf(request, 'idempotency-key') ?? randomUUID(),
    className: className === undefined ? undefined : parseId<ClassName>(className, 'class'),
  };
}

function accountKeyOf(request: IncomingMessage): string | undefined {
  return /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1];
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function closeSignal(response: ServerResponse): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abort.abort();
  });
  return abort.signal;
}

function eventOf(data: string): string {
  return `data: ${data}\n\n`;
}

function writerOf(options: ServerParts, response: ServerResponse): CallerWriter {
  const { clock, limits, metrics } = options;
  const onStall = () => {
    metrics.count('stalledCallers');
  };
  return new CallerWriter(response, { clock, stallLimitMs: limits.stallLimitMs, onStall });
}

/** Counts what an exchange holds until its answer has gone out or its caller has. */
function holdBytes(options: ServerParts, response: ServerResponse): HeldBytes {
  const held = options.bodies.open();
  response.once('close', () => {
    held[Symbol.dispose]();
  });
  return held;
}

function writeJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
