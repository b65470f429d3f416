import { RouterError } from '../RouterError/index.js';

/**
 * Converts any thrown value to a {@link RouterError}.
 *
 * @param thrown - the value caught
 * @returns the same error if it is a `RouterError`, else a new one of kind `internal`
 *
 * @example
 * toRouterError(new TypeError('x')).kind;
 * //=> 'internal'
 */
export function toRouterError(thrown: unknown): RouterError {
  if (thrown instanceof RouterError) return thrown;
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  return new RouterError('internal', cause.message, { cause });
}
