import type { RouterError } from '@acaciacrank/base';

/** Exit codes of the program; {@link exitCodeHelp} describes them. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  badUsage: 2,
  refused: 3,
  unavailable: 4,
  unknown: 5,
  incomplete: 6,
} as const;

/** Descriptions of the exit codes for the help text. */
export const exitCodeHelp = [
  '0  done, and nothing in the result is unknown',
  '1  failed; nothing was changed unless the message says so',
  '2  the command or the document is wrong',
  '3  refused: another change was made first, or trial has not run these bytes',
  '4  the store or the instance did not answer; nothing was changed',
  '5  unknown: the answer was lost, the change may be in force; run status',
  '6  done, but not every instance is known to act on it; run status',
];

/**
 * Returns the exit code for an error.
 *
 * @example
 * exitCodeOf(new RouterError('conflict', 'version 8 is in force'));
 * //=> 3
 */
export function exitCodeOf({ kind, ran }: RouterError): number {
  if (kind === 'internal') return exitCodes.failed;
  if (ran === 'unknown') return exitCodes.unknown;
  if (kind === 'conflict' || kind === 'notTried') return exitCodes.refused;
  if (kind === 'storeUnavailable' || kind === 'upstreamUnavailable') return exitCodes.unavailable;
  if (kind === 'badRequest' || kind === 'badDocument' || kind === 'badSettings') {
    return exitCodes.badUsage;
  }
  return exitCodes.failed;
}
