import type { RouterError } from '@acaciacrank/base';

/** An in-flight request at an upstream; must be disposed of when the request has ended. */
export abstract class InFlightRequest implements Disposable {
  /** Records progress: a token of an engine, or the complete response of another service. */
  abstract progress(): void;

  /**
   * Records that the upstream is overloaded and requests a backoff.
   *
   * @param durationMs - in milliseconds
   */
  abstract backOff(durationMs: number): void;

  /**
   * Records that the request failed at the upstream. Errors caused by the caller do not count against
   * the upstream.
   *
   * @param error - the error thrown by the upstream's client
   */
  abstract failed(error: RouterError): void;

  abstract [Symbol.dispose](): void;
}
