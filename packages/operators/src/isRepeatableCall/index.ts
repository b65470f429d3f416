import type { PlainServiceDocument } from '../environmentSchema/index.js';

/** Method and path of a call to a plain service. */
export interface RequestLine {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/**
 * Matches paths that a service may resolve to a different path: those with `.`, `..` or empty
 * segments, with backslashes, or with a percent-encoded dot, slash or backslash.
 */
const ambiguousPathPattern = /\/\.{0,2}(\/|$)|\\|%(2e|2f|5c)/i;

/**
 * Whether a call is idempotent according to the configuration of its service, and so may be retried.
 *
 * A service may resolve `/availability/../confirmations`, which matches the pattern of an idempotent
 * call, to a call that is not idempotent; a retry would then charge a customer twice. Ambiguous paths
 * therefore match no pattern.
 *
 * @param service - the service's configuration
 * @param call - method and path of the call
 * @returns whether a second execution has no further effect
 *
 * @example
 * isRepeatableCall(service, { method: 'GET', path: '/records/7' });
 * //=> true
 */
export function isRepeatableCall(service: PlainServiceDocument, call: RequestLine): boolean {
  const { method } = call;
  if (service.repeatableMethods.some((repeatable) => repeatable === method)) return true;
  const [path = ''] = call.path.split(/[?#]/, 1);
  if (ambiguousPathPattern.test(path.replace(/\/$/, ''))) return false;
  return service.repeatableCalls.some(
    (pattern) =>
      pattern.method === method && matchesPattern(splitSegments(pattern.path), splitSegments(path)),
  );
}

function splitSegments(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

function matchesPattern(pattern: readonly string[], path: readonly string[]): boolean {
  const hasTrailingWildcard = pattern.at(-1) === '**';
  const fixedSegments = hasTrailingWildcard ? pattern.slice(0, -1) : pattern;
  if (
    hasTrailingWildcard ? path.length < fixedSegments.length : path.length !== fixedSegments.length
  )
    return false;
  return fixedSegments.every((segment, at) => segment === '*' || segment === path[at]);
}
