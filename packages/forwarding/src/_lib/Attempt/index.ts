/**
 * One request at one upstream, from taking a connection to the end of the answer.
 */
import { describeError, RouterError, type Clock } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import { EventBuffer, type StreamEvent } from '../EventBuffer/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import type { AnswerHead } from '../../types.js';
import { heldBytesLimit, returnMarginMs } from '../limits/index.js';
import { openExchange, wasNeverSent, type Exchange } from '../openExchange/index.js';
import type { Reading, Send, Upstream } from '../Upstream/index.js';
import type { LimitChange } from '../UpstreamLimit/index.js';

/** How one attempt ended. */
export type AttemptResult =
  /** A whole answer, held in memory. */
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: RawHeaders;
      readonly body: Buffer;
      readonly isFramed: boolean;
    }
  /** A stream that was passed on to its end. */
  | { readonly kind: 'streamed'; readonly longestGapMs: number }
  /** No byte left this instance. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The upstream says that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number; readonly isWrongUpstream: boolean }
  /** The upstream or the connection failed; the request may have run. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** Given up here for another upstream, since nothing came. */
  | { readonly kind: 'silent' }
  | { readonly kind: 'deadline'; readonly wasSent: boolean }
  | { readonly kind: 'callerGone'; readonly wasSent: boolean };

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  clock: Clock;
  codec: ForwardCodec;
  call: ForwardCall;
  upstream: Upstream;
  /** Where the prompt's parts may be fetched from; undefined for nowhere. */
  fetchFrom: string | undefined;
  /** What the engine will read for it; undefined for plain services. */
  reading: Reading | undefined;
  /** Called once when the first event came. */
  onBegun: (send: Send) => void;
  /** Called when the answer changes the upstream's known rate limit. */
  onLimitChange: (change: LimitChange) => void;
  /** After this long without anything from the upstream, give it up; undefined for never. */
  silenceLimitMs: number | undefined;
}

/** Why an attempt was ended from here. */
type EndReason = 'silent' | 'deadline' | 'callerGone';

/** Runs one attempt. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #abort = new AbortController();
  #ended: EndReason | undefined;
  #silence: Disposable | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Sends the request and passes on or holds its answer. Never throws. */
  async run(): Promise<AttemptResult> {
    const { call, upstream, clock } = this.#options;
    const leftMs = call.deadlineMs - clock.monotonicMs();
    if (call.gone.aborted) return { kind: 'callerGone', wasSent: false };
    if (leftMs <= returnMarginMs) return { kind: 'deadline', wasSent: false };
    const connection = upstream.takeConnection();
    const send = upstream.begin(this.#options.reading);
    const deadline = clock.schedule(leftMs, this.#ender('deadline'));
    const onGone = this.#ender('callerGone');
    call.gone.addEventListener('abort', onGone, { once: true });
    this.#watchSilence();
    let isSound = false;
    try {
      const exchange = await openExchange(
        connection.client,
        this.#request(leftMs),
        this.#options.codec,
      );
      this.#hear(send, false);
      const result = await this.#receive(exchange, send);
      if (connection.wasReset) return this.#failure(new Error('the answer was reset on the way'));
      isSound = result.kind === 'answer' || result.kind === 'streamed' || result.kind === 'notRun';
      return result;
    } catch (thrown) {
      return this.#failure(thrown);
    } finally {
      deadline[Symbol.dispose]();
      this.#silence?.[Symbol.dispose]();
      call.gone.removeEventListener('abort', onGone);
      upstream.end(send);
      upstream.returnConnection(connection, isSound);
    }
  }

  #ender(reason: EndReason): () => void {
    return () => {
      this.#ended ??= reason;
      this.#abort.abort();
    };
  }

  #request(leftMs: number) {
    const { call, upstream, codec, fetchFrom } = this.#options;
    const { request } = call;
    const headers = codec.upstreamHeaders(request.rawHeaders, {
      upstreamId: upstream.id,
      accountId: call.account?.accountId,
      budgetMs: Math.max(1, Math.floor(leftMs - returnMarginMs)),
      resumeAfter: call.progress.lastEventId ?? call.head.resumeAfter,
      priority: undefined,
      fetchFrom,
    });
    return {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers,
      body: call.body,
      signal: this.#abort.signal,
    };
  }

  async #receive(exchange: Exchange, send: Send): Promise<AttemptResult> {
    const { call, upstream, clock } = this.#options;
    const { head, status } = exchange;
    if (head.load !== undefined) upstream.load = { report: head.load, atMs: clock.monotonicMs() };
    this.#updateLimit(head, send);
    if (head.isNotRun) {
      await readWhole(exchange.body);
      return { kind: 'notRun', status, isWrongUpstream: head.isWrongUpstream };
    }
    // A late answer to an earlier request may stand where this one's was due; the id tells.
    if (head.requestId !== undefined && head.requestId !== call.head.requestId) {
      return this.#spoilt(exchange, 'answer of another request');
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!head.isSigned || head.requestId === undefined)) {
      return this.#spoilt(exchange, 'success that the upstream does not vouch for');
    }
    if (isSuccess && call.route.kind === 'stream') return this.#passOn(exchange, send);
    const body = await readWhole(exchange.body);
    const { headers, isFramed } = exchange;
    return { kind: 'answer', status, headers, body, isFramed };
  }

  /**
   * Updates the upstream's rate limit from an answer. An answer without a limit clears the known one
   * only if it is signed.
   */
  #updateLimit({ limitPerS, requestId, isSigned, isWrongUpstream }: AnswerHead, send: Send): void {
    const { call, upstream, clock, onLimitChange } = this.#options;
    if (limitPerS === undefined || isWrongUpstream) return;
    if (requestId !== undefined && requestId !== call.head.requestId) return;
    if (limitPerS === Infinity && !isSigned) return;
    const change = upstream.limit.update({
      requestsPerSecond: limitPerS,
      sentMs: send.sentMs,
      receivedMs: clock.monotonicMs(),
    });
    if (change !== undefined) onLimitChange(change);
  }

  #spoilt(exchange: Exchange, reason: string): AttemptResult {
    exchange.body.on('error', () => undefined);
    exchange.body.destroy();
    return { kind: 'broken', reason };
  }

  /** Passes whole events on as they come. */
  async #passOn(exchange: Exchange, send: Send): Promise<AttemptResult> {
    const { call } = this.#options;
    const buffer = new EventBuffer();
    for await (const chunk of exchange.body as AsyncIterable<Buffer>) {
      if (!send.hasBegun) this.#options.onBegun(send);
      this.#hear(send, true);
      const events = buffer.push(chunk);
      if (events.length > 0) await this.#write(exchange, events);
    }
    if (buffer.isPartial) return { kind: 'broken', reason: 'the stream ended inside an event' };
    if (!call.response.headersSent) this.#writeHead(exchange);
    return { kind: 'streamed', longestGapMs: Math.round(send.longestGapMs) };
  }

  async #write(exchange: Exchange, events: readonly StreamEvent[]): Promise<void> {
    const { call } = this.#options;
    const { progress } = call;
    for (const { id } of events) {
      if (!follows(progress.lastEventId, id)) {
        throw new RouterError('upstreamFailed', 'an event is missing or comes twice');
      }
      progress.lastEventId = id ?? progress.lastEventId;
      progress.events += 1;
    }
    if (!call.response.headersSent) this.#writeHead(exchange);
    const [only] = events;
    const bytes =
      events.length === 1 && only !== undefined
        ? only.bytes
        : Buffer.concat(events.map((event) => event.bytes));
    await call.writer.write(bytes);
  }

  #writeHead(exchange: Exchange): void {
    const { call, codec } = this.#options;
    call.story.add('firstEvent', { upstreamId: this.#options.upstream.id });
    if (!exchange.isFramed) endWithConnection(call.response);
    call.response.writeHead(exchange.status, codec.callerHeaders(exchange.headers));
  }

  #hear(send: Send, hasBegun: boolean): void {
    this.#options.upstream.hear(send, hasBegun);
    this.#watchSilence();
  }

  #watchSilence(): void {
    const { silenceLimitMs, clock } = this.#options;
    this.#silence?.[Symbol.dispose]();
    if (silenceLimitMs === undefined) return;
    this.#silence = clock.schedule(silenceLimitMs, this.#ender('silent'));
  }

  #failure(thrown: unknown): AttemptResult {
    const ended = this.#ended;
    if (ended === 'silent') return { kind: ended };
    if (ended !== undefined) return { kind: ended, wasSent: !wasNeverSent(thrown) };
    if (wasNeverSent(thrown)) return { kind: 'notSent', reason: describeError(thrown).message };
    return { kind: 'broken', reason: describeError(thrown).message };
  }
}

/**
 * Makes an answer's end the end of its connection, as the upstream's was.
 *
 * Guards against an upstream that crashes within an answer without a length: the operating system
 * closes its connection in good order, so that the cut answer looks whole. Given a length or chunks
 * here, it would be vouched for by this instance; ended by its connection, its reader knows no more
 * and no less than from the upstream itself.
 */
export function endWithConnection(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}

/** Whether an event may come after another; ids that are numbers must be in turn. */
function follows(last: string | undefined, next: string | undefined): boolean {
  if (last === undefined || next === undefined) return true;
  const lastNumber = Number(last);
  const nextNumber = Number(next);
  if (!Number.isSafeInteger(lastNumber) || !Number.isSafeInteger(nextNumber)) return true;
  return nextNumber === lastNumber + 1;
}

async function readWhole(body: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes > heldBytesLimit) throw new RouterError('upstreamFailed', 'the answer is too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
