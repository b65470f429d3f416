import {
  bytesInKibibyte,
  bytesInMebibyte,
  ClientConnections,
  createBoundedServer,
  toRouterError,
  millisecondsInSecond,
  parseId,
  RouterError,
  SystemClock,
  type BudgetId,
  type ClientCloseReason,
  type ClientLimits,
  type ClassName,
  type Clock,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import { planClientLimits, SendGate } from '@acaciacrank/routing';
import type { ListedInstance } from '@acaciacrank/store';
import { randomUUID } from 'node:crypto';
import {
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { BodyMemory, type HeldBytes } from '../BodyMemory/index.js';
import { BufferPressure } from '../BufferPressure/index.js';
import { CallerWriter } from '../CallerWriter/index.js';
import { ConnectionBacklog } from '../ConnectionBacklog/index.js';
import { endToEndHeaders } from '../endToEndHeaders/index.js';
import { contentLengthOf } from '../contentLengthOf/index.js';
import { guardRequests, type RequestHandler } from '../guardRequests/index.js';
import { parseTarget, type RequestTarget } from '../parseTarget/index.js';
import { readBody } from '../readBody/index.js';
import { createOverloadError, errorBody, writeError } from '../writeError/index.js';
import type { ChatHandler } from '../ChatHandler/index.js';
import { parseChatCall } from '../parseChatCall/index.js';
import type { ServiceHandler } from '../ServiceHandler/index.js';
import type { CallIdentity, ChatCall, ChatFinalFrame, ChatFrame } from '../types.js';

/** The response of the directory. */
export interface DirectoryResponse {
  readonly instances: readonly Pick<ListedInstance, 'id' | 'url' | 'failureDomain'>[];
  /** How long the response may be cached, in milliseconds. */
  readonly keepMs: number;
}

/** Options of {@link createCallerServer}. */
export interface CreateCallerServerOptions {
  chat: Pick<ChatHandler, 'run'>;
  services: Pick<ServiceHandler, 'run'>;
  metrics: Metrics;
  /**
   * Looks up the directory for an account key and, optionally, the failure domain that the caller
   * is in.
   */
  directory: (accountKey: string | undefined, near: string | undefined) => DirectoryResponse;
  /** Whether the instance accepts new requests. */
  isAccepting: () => boolean;
  /** Overrides of {@link defaultCallerLimits}. */
  limits?: Partial<CallerLimits>;
  /** Called for each connection that is closed past a limit. */
  onClosed?: (reason: ClientCloseReason) => void;
  /** Used for stall timeouts. */
  clock?: Clock;
  /** Source of the jitter in retry times. */
  random?: Random;
}

/** Limits on the resources that callers can use. */
export interface CallerLimits extends Omit<ClientLimits, 'stallTimeoutMs'> {
  readonly maxHeaderBytes: number;
  readonly maxHeaders: number;
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Total size of all request and response bodies held in memory, in bytes. */
  readonly maxHeldBytes: number;
  /** Size of all buffers of the process, those included that are not collected yet, in bytes. */
  readonly maxBufferBytes: number;
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headersLimitMs: number;
  /** Timeout for receiving a whole request, in milliseconds. */
  readonly requestLimitMs: number;
  /** Keep-alive timeout of a connection between two requests, in milliseconds. */
  readonly idleLimitMs: number;
  /** How long a caller may read nothing while data is pending, in milliseconds. */
  readonly stallLimitMs: number;
}

/** Limits for a machine with 256 MiB of memory. */
export const defaultCallerLimits: CallerLimits = {
  ...planClientLimits({ memoryBytes: 256 * bytesInMebibyte, descriptors: 10_000 }).callers,
  maxHeaderBytes: 16 * bytesInKibibyte,
  maxHeaders: 100,
  maxBodyBytes: bytesInMebibyte,
  headersLimitMs: 10 * millisecondsInSecond,
  requestLimitMs: 30 * millisecondsInSecond,
  idleLimitMs: 5 * millisecondsInSecond,
  stallLimitMs: 30 * millisecondsInSecond,
};

/** Dependencies shared by all requests of one server. */
interface ServerContext extends CreateCallerServerOptions {
  readonly limits: CallerLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly bodies: BodyMemory;
  readonly sendGate: SendGate;
  readonly backlog: ConnectionBacklog;
}

/**
 * Creates the HTTP server for callers.
 *
 * @param options - the handlers behind it
 * @returns a server that is not listening yet
 *
 * @example
 * createCallerServer(options).listen(8080, '10.0.0.5');
 */
export function createCallerServer(options: CreateCallerServerOptions): Server {
  const limits = { ...defaultCallerLimits, ...options.limits };
  const { clock = new SystemClock(), random = Math.random } = options;
  const context: ServerContext = {
    ...options,
    clock,
    random,
    limits,
    bodies: new BodyMemory({
      maxBytes: limits.maxHeldBytes,
      pressure: new BufferPressure({ clock, maxBytes: limits.maxBufferBytes }),
      onResponseClosed: () => {
        options.metrics.count('unreadResponsesClosed');
      },
    }),
    sendGate: new SendGate({ clock, metrics: options.metrics }),
    backlog: new ConnectionBacklog(clock),
  };
  const handle: RequestHandler = (request, response) =>
    route(context, request, response).catch((thrown: unknown) => {
      const error = toRouterError(thrown);
      options.metrics.count('refused', error.kind);
      if (!response.headersSent) writeError(response, error, context.random);
      else response.destroy();
    });
  const countFailure = () => {
    options.metrics.count('failedHandlers', 'callers');
  };
  const connections = new ClientConnections({
    limits: { ...limits, stallTimeoutMs: limits.stallLimitMs },
    clock,
    onClosed: options.onClosed ?? (() => undefined),
  });
  const refuse: RequestListener = (_request, response) => {
    options.metrics.count('refused', 'overloaded');
    writeError(response, createOverloadError(), random);
  };
  const server = createBoundedServer(
    {
      connections,
      refuse,
      hasRoomForBody: (bytes) => bytes > limits.maxBodyBytes || context.bodies.hasRoomFor(bytes),
      server: serverOptions(limits),
    },
    guardRequests(handle, countFailure),
  );
  context.backlog.watch(server);
  server.maxHeadersCount = limits.maxHeaders;
  return server;
}

/**
 * The timeouts close connections of clients that send slowly on purpose or not at all. TCP
 * keep-alive probes detect a caller that has disappeared while nothing is written to it.
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
  context: ServerContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { path, query } = parseTarget(request.url);
  if (path === '/health') {
    writeJson(response, context.isAccepting() ? 200 : 503, { accepting: context.isAccepting() });
    return;
  }
  if (path === '/directory') {
    const near = new URLSearchParams(query).get('near') ?? undefined;
    writeJson(response, 200, context.directory(accountKeyOf(request), near));
    return;
  }
  if (!context.isAccepting())
    throw new RouterError(
      'instanceLeaving',
      'this instance is leaving and accepts no new requests',
    );
  if (path === '/v1/chat/completions' && request.method === 'POST') {
    await answerChat(context, request, response);
    return;
  }
  if (path.startsWith('/services/')) {
    await answerService(context, { path, query }, request, response);
    return;
  }
  throw new RouterError('notFound', `no resource at ${path}`);
}

async function answerChat(
  context: ServerContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const identity = identityOf(request);
  const { body, closed } = await readCall(context, request, response);
  const { call, isStreamed } = parseChatCall(identity, body.toString('utf8'));
  const frames = context.chat.run(call, closed);
  if (isStreamed) await writeStream(context, response, call, frames);
  else await writeCompletion(response, call, frames);
}

async function writeStream(
  context: ServerContext,
  response: ServerResponse,
  call: ChatCall,
  frames: AsyncIterable<ChatFrame>,
): Promise<void> {
  const writer = createWriter(context, response);
  try {
    for await (const frame of frames) {
      if (!response.headersSent) writeStreamHead(response, call);
      await writer.write(formatEvent(formatChunk(call, frame)));
    }
    await writer.write(formatEvent('[DONE]'));
    await writer.end();
  } catch (thrown) {
    if (!response.headersSent) throw thrown;
    // The headers have been sent, so the error is sent as an event and no final frame follows.
    const error = toRouterError(thrown);
    context.metrics.count('brokenOff', error.kind);
    await writer.write(formatEvent(JSON.stringify(errorBody(error, context.random))));
    await writer.end();
  }
}

async function writeCompletion(
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
  if (final === undefined)
    throw new RouterError('upstreamFailed', 'the answer ended without a final frame');
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

function formatChunk(call: ChatCall, frame: ChatFrame): string {
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
  context: ServerContext,
  target: RequestTarget,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const [, , service = '', ...rest] = target.path.split('/');
  const identity = identityOf(request);
  const { body, held, closed } = await readCall(context, request, response);
  const call = {
    ...identity,
    service,
    method: request.method ?? 'GET',
    path: `/${rest.join('/')}${target.query}`,
    headers: forwardedHeaders(request),
    body,
  };
  const answer = await context.services.run(call, closed);
  held.addResponse(answer.body.byteLength, response);
  const headers: OutgoingHttpHeaders = endToEndHeaders(answer.headers);
  const { 'content-length': declared } = answer.headers;
  const length = contentLengthOf({
    status: answer.status,
    declaredLength: typeof declared === 'string' ? declared : undefined,
    bodyBytes: answer.body.byteLength,
    method: request.method,
  });
  if (length !== undefined) headers['content-length'] = length;
  response.writeHead(answer.status, headers);
  await createWriter(context, response, held).end(answer.body);
}

function forwardedHeaders(request: IncomingMessage): Record<string, string> {
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

/** The body of a request, and the departure of its caller. */
interface ReceivedCall {
  readonly body: Buffer;
  readonly held: HeldBytes;
  /** Aborted when the caller has left. */
  readonly closed: AbortSignal;
}

/**
 * Reads the body of a request.
 *
 * @throws RouterError `cancelled` if the caller has left meanwhile, or before an instance that was late has read it
 */
async function readCall(
  context: ServerContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<ReceivedCall> {
  const closed = createCloseSignal(request, response);
  const held = trackHeldBytes(context, response);
  const { maxBodyBytes: maxBytes, requestLimitMs: timeoutMs } = context.limits;
  const { clock } = context;
  const body = await readBody(request, { maxBytes, held, clock, timeoutMs });
  const isLate = context.backlog.takeLate(request.socket) || context.sendGate.isLate;
  if (isLate) await context.sendGate.enter({ isLate });
  if (closed.aborted) throw new RouterError('cancelled', 'the caller left before it was read');
  return { body, held, closed };
}

function createCloseSignal({ socket }: IncomingMessage, response: ServerResponse): AbortSignal {
  const abort = new AbortController();
  const leave = () => {
    if (!response.writableFinished) abort.abort();
  };
  // The end of its side of the connection is read a little before the connection is closed.
  socket.once('end', leave);
  response.once('close', () => {
    socket.off('end', leave);
    leave();
  });
  return abort.signal;
}

function formatEvent(data: string): string {
  return `data: ${data}\n\n`;
}

function createWriter(
  context: ServerContext,
  response: ServerResponse,
  held?: HeldBytes,
): CallerWriter {
  const { clock, limits, metrics } = context;
  const onStall = () => {
    metrics.count('stalledCallers');
  };
  const onRead = () => held?.recordRead();
  return new CallerWriter(response, { clock, stallLimitMs: limits.stallLimitMs, onStall, onRead });
}

/**
 * Counts the bytes that an exchange holds until its response has been sent or its caller has
 * disconnected.
 */
function trackHeldBytes(context: ServerContext, response: ServerResponse): HeldBytes {
  const held = context.bodies.open();
  response.once('close', () => {
    held[Symbol.dispose]();
  });
  return held;
}

function writeJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  const contentLength = Buffer.byteLength(text);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': contentLength,
  });
  response.end(text);
}
