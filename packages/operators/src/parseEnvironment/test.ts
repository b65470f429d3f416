import test from 'ava';
import { RouterError } from '@acaciacrank/base';
import { readFileSync } from 'node:fs';
import { parseEnvironment } from './index.js';

const digest = 'a'.repeat(64);
const validDocument = `environment: trial
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 600000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true }
accounts:
  - id: one
    keyDigests: [${digest}]
    budgets:
      - { id: one-2026, openingTokens: 10 }
`;

test('parses a valid document and fills in defaults', (t) => {
  const document = parseEnvironment(validDocument);
  t.is(document.weighs, 'overspend');
  t.is(document.accounts[0]?.budgets[0]?.openingTokens, 10);
});

/** Replacements that make the valid document invalid, each with the error message it must cause. */
const faults: readonly [from: string, to: string, expectedMessage: RegExp][] = [
  [
    'openingTokens: 10',
    'openingTokens: -1',
    /^k:10:40: accounts\.0\.budgets\.0\.openingTokens: -1 is out of range: write a whole number of tokens/,
  ],
  ['openingTokens: 10', 'openingTokens: 1.5', /^k:10:40: .*openingTokens: .*write a whole number/],
  [
    ' openingTokens: 10',
    ' openingTokens: "10"',
    /^k:10:40: .*is the string "10" and should be a number/,
  ],
  [
    'openingTokens',
    'openingTokns',
    /^k:10:25: .*unknown field openingTokns: write openingTokens$/m,
  ],
  [
    'keyDigests',
    'key_digests',
    /^k:8:5: accounts\.0\.key_digests: unknown field key_digests: write keyDigests$/m,
  ],
  [
    'environment:',
    'colour: red\nenvironment:',
    /^k:1:1: colour: unknown field colour: remove it; known fields: environment, /m,
  ],
  [
    ', checksFencing: true',
    '',
    /^k:5:5: services\.0\.checksFencing: is missing: write true or false/m,
  ],
  [
    'kind: engines',
    'kind: engine',
    /^k:5:\d+: services\.0\.kind: "engine" is not valid: write engines .* or plain/m,
  ],
  [
    `[${digest}]`,
    '[secret]',
    /^k:8:18: accounts\.0\.keyDigests\.0: "secret" is not valid: write one or two SHA-256/m,
  ],
  [
    `[${digest}]`,
    `[${digest}, ${'b'.repeat(64)}, ${'c'.repeat(64)}]`,
    /^k:8:17: .*a list of 3 is out of range: write one or two/,
  ],
  [
    `[${digest}]`,
    `[${digest}, ${digest}]`,
    /^k:8:84: .*duplicate key digest aaaaaaaa…: change or remove one/,
  ],
  [
    'id: one\n',
    'id: 2026\n',
    /^k:7:9: .*is the number 2026 \(put a string in quotes\) and should be a string/,
  ],
  ['60000,', '700000,', /^k:3:43: .*write at most 600000, or raise totalDeadlineMs/],
  ['environment: trial', 'environment: kapiti.trial', /^k:1:14: environment: .*write kapiti$/],
  [
    'models: [small]',
    'models: [small, small]',
    /^k:5:51: .*duplicate model small: change or remove one/,
  ],
  ['  - id: one', '  - [id: one', /^k:\d+:\d+: /],
  ['environment: trial', 'environment: trial\nenvironment: other', /^k:2:1: .*unique/],
];

for (const [at, [from, to, expectedMessage]] of faults.entries()) {
  test(`reports position and correction of a fault (${at + 1}: ${to.slice(0, 30)})`, (t) => {
    const text = validDocument.replace(from, to);
    t.not(text, validDocument);
    const error = t.throws(() => parseEnvironment(text, 'k'), { instanceOf: RouterError });
    t.is(error.kind, 'badDocument');
    t.regex(error.message, expectedMessage);
  });
}

test('rejects a duplicate budget', (t) => {
  const duplicated = `${validDocument}      - { id: one-2026, openingTokens: 5 }\n`;
  t.throws(() => parseEnvironment(duplicated), {
    message: /11:\d+: .*duplicate budget one-2026: change or remove one/,
  });
});

test('lists a limited number of faults and counts the others', (t) => {
  const unknownFields = Array.from({ length: 30 }, (_, at) => `wrong${at}: 1\n`).join('');
  const error = t.throws(() => parseEnvironment(unknownFields + validDocument));
  t.regex(error.message, /and 10 more faults$/);
});

for (const name of ['demo', 'kapiti', 'refugios']) {
  test(`the example document ${name} is valid`, (t) => {
    const path = new URL(`../../../../examples/${name}.yaml`, import.meta.url);
    t.is(parseEnvironment(readFileSync(path, 'utf8')).environment, name);
  });
}
