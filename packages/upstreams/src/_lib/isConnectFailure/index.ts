/**
 * Distinguishes errors after which an upstream certainly did nothing from those with an unknown
 * outcome.
 */

const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT';

/**
 * Whether an error shows that no connection was established, so that no byte reached the upstream.
 *
 * Only errors of the connect call itself show it. `EHOSTUNREACH` or `ETIMEDOUT` may also end a
 * connection that has carried the request, and a pooled connection that its peer closes shows as a
 * reset after the request was written: in both cases it is unknown whether the request ran.
 *
 * @param error - what the HTTP client threw
 *
 * @example
 * isConnectFailure(Object.assign(new Error(), { code: 'ECONNREFUSED', syscall: 'connect' }));
 * //=> true
 */
export function isConnectFailure(error: Error & { code?: string; syscall?: string }): boolean {
  return error.syscall === 'connect' || error.code === connectTimeoutCode;
}
