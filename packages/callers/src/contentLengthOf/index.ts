/** What determines the length that a response states. */
export interface FramedResponse {
  readonly status: number;
  /** The length that the upstream has stated. */
  readonly declaredLength: string | undefined;
  readonly bodyBytes: number;
  /** Method of the request. */
  readonly method: string | undefined;
}

/** Whether a response has no body, so that it is whole with its head (RFC 9110, section 6.4.1). */
export function hasNoBody(status: number, method: string | undefined): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

/**
 * Returns the length that a response states to the caller: always that of its body, so that a part of it never looks
 * whole. A response to HEAD states the length of the body that it leaves out; 204 and 304 have none.
 *
 * @example
 * contentLengthOf({ status: 200, declaredLength: undefined, bodyBytes: 4, method: 'GET' });
 * //=> '4'
 */
export function contentLengthOf(response: FramedResponse): string | undefined {
  const { status, declaredLength, bodyBytes, method } = response;
  if (method === 'HEAD') return declaredLength;
  return hasNoBody(status, method) ? undefined : String(bodyBytes);
}
