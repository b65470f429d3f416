import { errorAnswers, RouterError, type ErrorAnswer } from '@acaciacrank/base';
import type { CommandResult } from '../types.js';

const executionTexts = {
  notRun: 'The work was not run, unless the answer itself says otherwise.',
  ran: 'The work was run.',
  unknown: 'Whether the work was run is unknown, unless the answer itself says otherwise.',
} as const;

/**
 * Explains an error kind: its HTTP status, whether the request was executed, and what to do.
 *
 * @throws RouterError `notFound`, with the list of kinds, when there is no such kind
 *
 * @example
 * runExplain('budgetExhausted').data.httpStatus;
 * //=> 402
 */
export function runExplain(kind: string): CommandResult {
  const table: Readonly<Record<string, ErrorAnswer>> = errorAnswers;
  const answer = Object.hasOwn(table, kind) ? table[kind] : undefined;
  if (answer === undefined) {
    const kinds = Object.keys(table).sort().join(', ');
    throw new RouterError('notFound', `there is no error kind ${kind}; kinds are: ${kinds}`);
  }
  const { httpStatus, ran, retryAfterMs, remedy } = answer;
  const retryText =
    retryAfterMs === undefined
      ? 'Retrying without a change is of no use.'
      : `Callers may retry after ${retryAfterMs} ms.`;
  return {
    isCertain: true,
    text: [`${kind} (HTTP ${httpStatus})`, executionTexts[ran], retryText, `Next: ${remedy}`].join(
      '\n',
    ),
    data: { kind, httpStatus, ran, retryAfterMs: retryAfterMs ?? null, remedy },
  };
}
