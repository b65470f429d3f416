/**
 * Converts issues reported by the schema library into faults with a description and a correction.
 */
import type { z } from 'zod';
import { environmentSchema } from '../../environmentSchema/index.js';
import type { DocumentFault } from '../../types.js';
import { fieldsAt } from '../fieldsAt/index.js';
import { nearestName } from '../nearestName/index.js';

/** The valid values of each field, for messages. */
const remedies: Readonly<Record<string, string>> = {
  environment: 'the name of the environment, for example kapiti',
  basedOnVersion: 'the production version that acaciacrankctl status shows, for example 7',
  weighs: 'overspend or falseRefusals',
  classes: 'a list of classes, highest priority first',
  services: 'a list of services, each with a name and a kind',
  accounts: 'a list of client accounts',
  budgets: 'a list of budgets, each { id: NAME, openingTokens: NUMBER }',
  id: 'a name of 1 to 64 letters, digits or . _ -',
  name: 'a name of 1 to 64 letters, digits or . _ -',
  openingTokens: 'a whole number of tokens from 0 to 1000000000000',
  keyDigests: 'one or two SHA-256 digests; printf %s KEY | sha256sum makes one',
  firstTokenDeadlineMs: 'a whole number of milliseconds, for example 2000',
  totalDeadlineMs: 'a whole number of milliseconds up to 3600000',
  kind: 'engines (model engines) or plain (other HTTP services)',
  models: 'a list of model names',
  minBytesPerToken: 'a number above 0, for example 1',
  maxOutputTokens: 'a whole number of tokens above 0',
  checksFencing: 'true or false: whether the engines reject an outdated fencing number',
  repeatableMethods: 'a list of methods, for example [GET, HEAD]',
  repeatableCalls: 'a list of { method: POST, path: /a/*/b }',
  method: 'GET, HEAD, PUT, DELETE, POST or PATCH',
  path: 'a path such as /shelters/*/availability; ** is allowed at the end only',
  tokensPerCall: 'a whole number of tokens, 0 or more',
};

/** Names for messages of the schema library's types. */
const typeNames: Readonly<Record<string, string>> = {
  int: 'a whole number',
  number: 'a number',
  string: 'a string',
  array: 'a list',
  object: 'a map',
  boolean: 'true or false',
};

/**
 * Converts one issue.
 *
 * @param issue - an issue reported by the schema library
 * @param value - the whole document
 * @returns one fault, or one fault per unknown field
 */
export function describeIssue(issue: z.core.$ZodIssue, value: unknown): DocumentFault[] {
  const { path } = issue;
  if (issue.code === 'unrecognized_keys') {
    const known = fieldsAt(environmentSchema, path, value);
    return issue.keys.map((key) => unknownFieldFault(path, key, known));
  }
  return [
    {
      path,
      isKey: false,
      message: `${describeProblem(issue, valueAt(value, path))}: ${remedy(path)}`,
    },
  ];
}

function unknownFieldFault(
  path: readonly PropertyKey[],
  key: string,
  known: readonly string[],
): DocumentFault {
  const suggestion = nearestName(key, known);
  const advice =
    suggestion === undefined
      ? `remove it; known fields: ${known.join(', ')}`
      : `write ${suggestion}`;
  return { path: [...path, key], isKey: true, message: `unknown field ${key}: ${advice}` };
}

function describeProblem(issue: z.core.$ZodIssue, value: unknown): string {
  if (value === undefined) return 'is missing';
  if (value === null) return 'is empty';
  if (issue.code === 'invalid_type')
    return `is ${describeTypedValue(value)} and should be ${typeNames[issue.expected] ?? issue.expected}`;
  if (issue.code === 'too_small' || issue.code === 'too_big')
    return `${formatValue(value)} is out of range`;
  return `${formatValue(value)} is not valid`;
}

function remedy(path: readonly PropertyKey[]): string {
  const field = path.findLast((step) => typeof step === 'string');
  return `write ${remedies[String(field)] ?? 'a map of environment, classes, services and accounts'}`;
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) return `a list of ${value.length}`;
  return typeof value === 'object' ? 'this map' : JSON.stringify(value);
}

function describeTypedValue(value: unknown): string {
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'a map';
  if (typeof value === 'string') return `the string ${JSON.stringify(value)}`;
  return `the ${typeof value} ${String(value)} (put a string in quotes)`;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, step) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<PropertyKey, unknown>)[step]
        : undefined,
    value,
  );
}
