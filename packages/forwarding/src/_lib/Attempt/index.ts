/**
 * One request at one upstream, from acquiring a connection to the end of the response.
 */
import { InactivityTimer, toRouterError, RouterError, type Clock } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { ForwardCodec, RawHeaders } from '../../ForwardCodec/index.js';
import { EventBuffer, type StreamEvent } from '../EventBuffer/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import type { ResponseHead } from '../../types.js';
import { maxBufferedBytes, responseMarginMs } from '../limits/index.js';
import { sendRequest, wasNeverSent, type UpstreamResponse } from '../sendRequest/index.js';
import type { PrefillEstimate, InFlightRequest, Upstream } from '../Upstream/index.js';
import type { LimitChange } from '../UpstreamLimit/index.js';

/** How an attempt ended. */
export type AttemptResult =
  /** A complete response, held in memory. */
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: RawHeaders;
      readonly body: Buffer;
      readonly isFramed: boolean;
    }
  /** A stream that was relayed to its end. */
  | { readonly kind: 'streamed'; readonly longestGapMs: number }
  /** No byte was sent. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The upstream states that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number; readonly isWrongUpstream: boolean }
  /** The upstream or the connection failed; the request may have run. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** Aborted by this instance in order to try another upstream, since no data arrived in time. */
  | { readonly kind: 'silent' }
  /** The deadline of the request passed; `wasSent`: the request may have reached the upstream. */
  | { readonly kind: 'deadline'; readonly wasSent: boolean }
  /** The caller disconnected; `wasSent` as for `deadline`. */
  | { readonly kind: 'callerGone'; readonly wasSent: boolean };

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  clock: Clock;
  codec: ForwardCodec;
  call: ForwardCall;
  upstream: Upstream;
  /**
   * Address of an engine from which the prompt's parts can be copied; undefined if there is none.
   */
  fetchFrom: string | undefined;
  /** Estimated prefill work of the engine; undefined for plain services. */
  prefill: PrefillEstimate | undefined;
  /** Called once, when the first event arrives. */
  onFirstEvent: (inFlightRequest: InFlightRequest) => void;
  /** Called when the response changes the upstream's known rate limit. */
  onLimitChange: (change: LimitChange) => void;
  /**
   * Aborts the attempt after this long without data from the upstream, in milliseconds; undefined
   * for no limit.
   */
  inactivityTimeoutMs: number | undefined;
}

/** Why this instance aborted an attempt. */
type AbortReason = 'silent' | 'deadline' | 'callerGone';

/** Sends one request to one upstream, and relays or buffers the response. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #abort = new AbortController();
  #abortReason: AbortReason | undefined;
  #inactivityTimer: InactivityTimer | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  /** Sends the request, then relays or buffers the response. Never throws. */
  async run(): Promise<AttemptResult> {
    const { call, upstream, clock } = this.#options;
    const remainingMs = call.deadlineMs - clock.monotonicMs();
    if (call.disconnectSignal.aborted) return { kind: 'callerGone', wasSent: false };
    if (remainingMs <= responseMarginMs) return { kind: 'deadline', wasSent: false };
    const connection = upstream.acquireConnection();
    const inFlightRequest = upstream.begin(this.#options.prefill);
    const deadline = clock.schedule(remainingMs, this.#createAborter('deadline'));
    const onCallerGone = this.#createAborter('callerGone');
    call.disconnectSignal.addEventListener('abort', onCallerGone, { once: true });
    this.#restartInactivityTimer();
    let isReusable = false;
    try {
      const upstreamResponse = await sendRequest(
        connection.client,
        this.#createRequest(remainingMs),
        this.#options.codec,
      );
      this.#recordReceived(inFlightRequest, false);
      const result = await this.#receive(upstreamResponse, inFlightRequest);
      if (connection.wasReset)
        return this.#classifyError(new Error('the connection was reset during the response'));
      isReusable =
        result.kind === 'answer' || result.kind === 'streamed' || result.kind === 'notRun';
      return result;
    } catch (thrown) {
      return this.#classifyError(thrown);
    } finally {
      deadline[Symbol.dispose]();
      this.#inactivityTimer?.[Symbol.dispose]();
      call.disconnectSignal.removeEventListener('abort', onCallerGone);
      upstream.end(inFlightRequest);
      upstream.releaseConnection(connection, isReusable);
    }
  }

  #createAborter(reason: AbortReason): () => void {
    return () => {
      this.#abortReason ??= reason;
      this.#abort.abort();
    };
  }

  #createRequest(remainingMs: number) {
    const { call, upstream, codec, fetchFrom } = this.#options;
    const { request } = call;
    const headers = codec.upstreamHeaders(request.rawHeaders, {
      upstreamId: upstream.id,
      accountId: call.account?.accountId,
      budgetMs: Math.max(1, Math.floor(remainingMs - responseMarginMs)),
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

  async #receive(
    upstreamResponse: UpstreamResponse,
    inFlightRequest: InFlightRequest,
  ): Promise<AttemptResult> {
    const { call, upstream, clock } = this.#options;
    const { head, status } = upstreamResponse;
    if (head.load !== undefined) upstream.load = { report: head.load, atMs: clock.monotonicMs() };
    this.#updateLimit(head, inFlightRequest);
    if (head.warmUpMs !== undefined && !head.isWrongUpstream) upstream.warmUp.assume(head.warmUpMs);
    if (head.isNotRun) {
      await readFully(upstreamResponse.body);
      return { kind: 'notRun', status, isWrongUpstream: head.isWrongUpstream };
    }
    // A late response to an earlier request may arrive on this connection instead; the request id
    // shows it.
    if (head.requestId !== undefined && head.requestId !== call.head.requestId) {
      return this.#rejectResponse(upstreamResponse, 'response to a different request');
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!head.isSigned || head.requestId === undefined)) {
      return this.#rejectResponse(
        upstreamResponse,
        'success response without signature or request id',
      );
    }
    if (isSuccess && call.route.kind === 'stream')
      return this.#relayStream(upstreamResponse, inFlightRequest);
    const body = await readFully(upstreamResponse.body);
    const { headers, isFramed } = upstreamResponse;
    return { kind: 'answer', status, headers, body, isFramed };
  }

  /**
   * Updates the upstream's rate limit from a response. A response without a limit clears the known
   * one only if it is signed.
   */
  #updateLimit(
    { limitPerS, requestId, isSigned, isWrongUpstream }: ResponseHead,
    inFlightRequest: InFlightRequest,
  ): void {
    const { call, upstream, clock, onLimitChange } = this.#options;
    if (limitPerS === undefined || isWrongUpstream) return;
    if (requestId !== undefined && requestId !== call.head.requestId) return;
    if (limitPerS === Infinity && !isSigned) return;
    const change = upstream.limit.update({
      requestsPerSecond: limitPerS,
      sentMs: inFlightRequest.sentMs,
      receivedMs: clock.monotonicMs(),
    });
    if (change !== undefined) onLimitChange(change);
  }

  #rejectResponse(upstreamResponse: UpstreamResponse, reason: string): AttemptResult {
    upstreamResponse.body.on('error', () => undefined);
    upstreamResponse.body.destroy();
    return { kind: 'broken', reason };
  }

  /** Relays complete events as they arrive. */
  async #relayStream(
    upstreamResponse: UpstreamResponse,
    inFlightRequest: InFlightRequest,
  ): Promise<AttemptResult> {
    const { call } = this.#options;
    const buffer = new EventBuffer();
    for await (const chunk of upstreamResponse.body as AsyncIterable<Buffer>) {
      if (!inFlightRequest.hasFirstEvent) this.#options.onFirstEvent(inFlightRequest);
      this.#recordReceived(inFlightRequest, true);
      const events = buffer.push(chunk);
      if (events.length > 0) await this.#relayEvents(upstreamResponse, events);
    }
    if (buffer.hasPartialEvent)
      return { kind: 'broken', reason: 'the stream ended in the middle of an event' };
    if (!call.response.headersSent) this.#writeResponseHead(upstreamResponse);
    return { kind: 'streamed', longestGapMs: Math.round(inFlightRequest.longestGapMs) };
  }

  async #relayEvents(
    upstreamResponse: UpstreamResponse,
    events: readonly StreamEvent[],
  ): Promise<void> {
    const { call } = this.#options;
    const { progress } = call;
    for (const { id } of events) {
      if (!isNextEvent(progress.lastEventId, id)) {
        throw new RouterError('upstreamFailed', 'an event is missing or duplicated');
      }
      progress.lastEventId = id ?? progress.lastEventId;
      progress.events += 1;
    }
    if (!call.response.headersSent) this.#writeResponseHead(upstreamResponse);
    const [onlyEvent] = events;
    const bytes =
      events.length === 1 && onlyEvent !== undefined
        ? onlyEvent.bytes
        : Buffer.concat(events.map((event) => event.bytes));
    await call.writer.write(bytes);
  }

  #writeResponseHead(upstreamResponse: UpstreamResponse): void {
    const { call, codec } = this.#options;
    call.trace.add('firstEvent', { upstreamId: this.#options.upstream.id });
    if (!upstreamResponse.isFramed) delimitByConnectionClose(call.response);
    call.response.writeHead(upstreamResponse.status, codec.callerHeaders(upstreamResponse.headers));
  }

  #recordReceived(inFlightRequest: InFlightRequest, hasFirstEvent: boolean): void {
    this.#options.upstream.recordReceived(inFlightRequest, hasFirstEvent);
    this.#restartInactivityTimer();
  }

  #restartInactivityTimer(): void {
    const { inactivityTimeoutMs, clock } = this.#options;
    if (inactivityTimeoutMs === undefined) return;
    this.#inactivityTimer ??= new InactivityTimer(
      clock,
      inactivityTimeoutMs,
      this.#createAborter('silent'),
    );
    this.#inactivityTimer.recordActivity();
  }

  #classifyError(thrown: unknown): AttemptResult {
    const abortReason = this.#abortReason;
    if (abortReason === 'silent') return { kind: abortReason };
    if (abortReason !== undefined) return { kind: abortReason, wasSent: !wasNeverSent(thrown) };
    if (wasNeverSent(thrown)) return { kind: 'notSent', reason: toRouterError(thrown).message };
    return { kind: 'broken', reason: toRouterError(thrown).message };
  }
}

/**
 * Ends the response to the caller by closing the connection, as the upstream did.
 *
 * Guards against an upstream that crashes while sending a response without a length: the operating
 * system closes its connection in an orderly way, so that the truncated response looks complete.
 * With a content length or chunked encoding this instance would confirm that it is complete. With a
 * close-delimited response the caller knows exactly as much as it would from the upstream itself.
 */
export function delimitByConnectionClose(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}

/** Whether an event may follow another one: numeric ids must be consecutive. */
function isNextEvent(last: string | undefined, next: string | undefined): boolean {
  if (last === undefined || next === undefined) return true;
  const lastNumber = Number(last);
  const nextNumber = Number(next);
  if (!Number.isSafeInteger(lastNumber) || !Number.isSafeInteger(nextNumber)) return true;
  return nextNumber === lastNumber + 1;
}

async function readFully(body: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes > maxBufferedBytes)
      throw new RouterError('upstreamFailed', 'the response exceeds the size limit');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
