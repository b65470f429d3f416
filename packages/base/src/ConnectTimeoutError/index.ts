/** A connection was not established in time; no byte was sent. */
export class ConnectTimeoutError extends Error {
  readonly code = 'ETIMEDOUT';
  readonly syscall = 'connect';

  /**
   * @param address - where it should have led
   * @param timeoutMs - how long it may take, in milliseconds
   */
  constructor(address: string, timeoutMs: number) {
    super(`no connection to ${address} within ${timeoutMs} ms`);
  }
}
