import type { Brand } from '../types.js';
import { RouterError } from '../RouterError/index.js';

const idPattern = /^[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}$/;

/**
 * Validates a text and brands it as an id.
 *
 * Ids appear in object keys, paths and logs, so only letters, digits and `. _ : @ -` are allowed,
 * at most 128 characters, starting with a letter or digit.
 *
 * @param text - the text to check
 * @param what - what the id identifies, for the error message
 * @returns the same text, branded
 * @throws RouterError `badRequest` when the text is not a valid id
 *
 * @example
 * const budgetId = parseId<BudgetId>('wellington-2026', 'budget');
 * //=> 'wellington-2026'
 */
export function parseId<Id extends Brand<string, string>>(text: unknown, what: string): Id {
  if (typeof text === 'string' && idPattern.test(text)) return text as Id;
  throw new RouterError(
    'badRequest',
    `the ${what} id must be 1 to 128 letters, digits or . _ : @ -, and start with a letter or digit`,
  );
}
