/**
 * Corrects errors that occur after a request was dispatched.
 */
import { RouterError } from '@acaciacrank/base';

/**
 * Turns an error that claims `notRun` into one that claims `unknown`.
 *
 * Guards against a false `notRun`: if a first upstream accepts the request and stops responding and
 * the next one refuses it, the refusal alone would claim that nothing ran.
 *
 * @param error - why the request failed, after its first byte may have reached an upstream
 */
export function toPossiblyRunError(error: RouterError): RouterError {
  if (error.ran !== 'notRun') return error;
  return new RouterError(error.kind, error.message, {
    ran: 'unknown',
    ...(error.jse_cause === undefined ? {} : { cause: error.jse_cause }),
    ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs }),
  });
}
