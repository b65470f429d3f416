/**
 * Sends one request to one upstream and passes on the response as it arrives.
 */
import { forEachRawHeader } from '@acaciacrank/callers';
import type { Client, Dispatcher } from 'undici';
import type { RawHeaders } from '../../ForwardCodec/index.js';
import { AbortedError } from '../AbortedError/index.js';

/** A request in the form in which it is sent to an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

/** Status and headers of a response. */
export interface UpstreamResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /**
   * Whether the headers frame the body (`content-length` or `transfer-encoding`); otherwise the
   * body ends when the connection is closed.
   */
  readonly isFramed: boolean;
}

/** Gets a response as it arrives. An error that it throws aborts the request with that error. */
export abstract class ResponseReceiver {
  /** Called once, before any data. */
  abstract onHead(head: UpstreamResponseHead): void;

  /** Called for each interim response (status 1xx) before the head. */
  onInterim(): void {
    // Most receivers have no use for them.
  }

  /**
   * Called for each part of the body.
   *
   * @returns undefined if more can be received at once, otherwise a promise to wait for
   */
  abstract onData(chunk: Buffer): Promise<void> | undefined;
}

/** Error codes of a failed connection attempt; no byte of the request has been sent then. */
const connectErrorCodes = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

const firstFinalStatus = 200;

/**
 * One request and its response.
 *
 * The response is taken from the HTTP client without a stream in between: a stream of events costs several
 * objects and promises per event, most of the processor time of relaying it.
 *
 * @example
 * await new Exchange(client, request, receiver).run();
 */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #client: Client;
  readonly #request: UpstreamRequest;
  readonly #receiver: ResponseReceiver;
  #controller: Dispatcher.DispatchController | undefined;
  #isEnded = false;
  #resolve: () => void = () => undefined;
  #reject: (error: Error) => void = () => undefined;

  /**
   * @param client - the connection to use, without any other request in progress
   * @param request - the request
   * @param receiver - gets the response
   */
  constructor(client: Client, request: UpstreamRequest, receiver: ResponseReceiver) {
    this.#client = client;
    this.#request = request;
    this.#receiver = receiver;
  }

  /**
   * Sends the request; resolves when the response is complete.
   *
   * @throws the connection's error, the receiver's, or one that reports {@link abort};
   * {@link wasNeverSent} returns whether the request may have run
   */
  run(): Promise<void> {
    const { method, path, headers, body } = this.#request;
    return new Promise<void>((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
      this.#client.dispatch(
        {
          method: method,
          path,
          headers,
          body: body.byteLength === 0 ? null : body,
        },
        this,
      );
    });
  }

  /** Ends the request; its connection cannot be used again. */
  abort(): void {
    const wasStarted = this.#controller !== undefined;
    this.#fail(new AbortedError(wasStarted));
  }

  /** Ends the request with an error, since what arrives is not to be received any more. */
  fail(error: Error): void {
    this.#fail(error);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isEnded) controller.abort(new AbortedError(false));
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.#isEnded) return;
    if (status < firstFinalStatus) {
      this.#guard(() => {
        this.#receiver.onInterim();
      });
      return;
    }
    const headers = toText(controller.rawHeaders);
    this.#guard(() => {
      this.#receiver.onHead({ status, headers, isFramed: isFramed(headers) });
    });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isEnded) return;
    this.#guard(() => {
      const isWritten = this.#receiver.onData(chunk);
      if (isWritten === undefined) return;
      controller.pause();
      void isWritten.then(() => {
        controller.resume();
      });
    });
  }

  onResponseEnd(): void {
    this.#isEnded = true;
    this.#resolve();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#isEnded = true;
    this.#reject(error);
  }

  #guard(receive: () => void): void {
    try {
      receive();
    } catch (thrown) {
      this.#fail(thrown as Error);
    }
  }

  #fail(error: Error): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#reject(error);
    this.#controller?.abort(error);
  }
}

function toText(rawHeaders: Dispatcher.DispatchController['rawHeaders']): RawHeaders {
  if (!Array.isArray(rawHeaders)) return [];
  return rawHeaders.map((text) => (typeof text === 'string' ? text : text.toString('latin1')));
}

function isFramed(headers: RawHeaders): boolean {
  let hasFraming = false;
  forEachRawHeader(headers, (name) => {
    hasFraming ||= name === 'content-length' || name === 'transfer-encoding';
  });
  return hasFraming;
}

/**
 * Whether an error means that no byte of the request reached the upstream.
 *
 * @example
 * wasNeverSent(Object.assign(new Error(), { code: 'ECONNREFUSED' }));
 * //=> true
 */
export function wasNeverSent(error: unknown): boolean {
  if (error instanceof AbortedError) return !error.wasStarted;
  if (!(error instanceof Error)) return false;
  const { code, syscall } = error as { code?: unknown; syscall?: unknown };
  return syscall === 'connect' || (typeof code === 'string' && connectErrorCodes.has(code));
}
