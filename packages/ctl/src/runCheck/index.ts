import { digestText } from '@acaciacrank/base';
import { compileEnvironment, objectsOf } from '@acaciacrank/operators';
import { readDocumentFile } from '../_lib/readEnvironment/index.js';
import type { CommandResult } from '../types.js';

/**
 * Validates a document file without contacting the platform.
 *
 * @throws RouterError `badDocument`, or `badRequest` when the file cannot be read
 *
 * @example
 * runCheck('examples/kapiti.yaml').data;
 * //=> { environment: 'kapiti', accounts: 10, … }
 */
export function runCheck(path: string): CommandResult {
  const { text, document } = readDocumentFile(path);
  const { environment, accounts, services, classes } = document;
  const budgets = accounts.reduce((sum, account) => sum + account.budgets.length, 0);
  const objects = [...objectsOf(compileEnvironment(document))].length;
  const digest = digestText(text);
  return {
    isCertain: true,
    text: [
      `${path} is a valid document for ${environment}: ${accounts.length} client accounts, ${budgets} budgets, ${services.length} services, ${classes.length} classes (digest ${digest.slice(0, 12)}).`,
      'Nothing was changed anywhere.',
      `Next: acaciacrankctl diff ${path}, then acaciacrankctl try ${path}`,
    ].join('\n'),
    data: {
      environment,
      digest,
      accounts: accounts.length,
      budgets,
      services: services.length,
      classes: classes.length,
      objects,
    },
  };
}
