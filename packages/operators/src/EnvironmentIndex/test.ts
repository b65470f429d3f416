import test from 'ava';
import { digestText, type AccountId } from '@acaciacrank/base';
import fc from 'fast-check';
import { compileEnvironment, objectsOf } from '../compileEnvironment/index.js';
import { MemoryConfigurationObjects } from '../ConfigurationObjects/index.js';
import { maxLeafBytes } from '../configurationTree/index.js';
import type { EnvironmentDocument } from '../environmentSchema/index.js';
import { loadConfiguration } from '../loadConfiguration/index.js';
import { EnvironmentIndex } from './index.js';

const baseDocument = {
  environment: 'kapiti',
  weighs: 'overspend' as const,
  classes: [{ name: 'review', firstTokenDeadlineMs: 1_000, totalDeadlineMs: 2_000 }],
  services: [{ name: 'tutor', kind: 'engines', models: ['small'], checksFencing: true }],
} as unknown as Omit<EnvironmentDocument, 'accounts'>;

// Includes names that a plain object inherits from its prototype, or that it would reorder.
const id = fc.oneof(
  fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._-]{0,12}$/),
  fc.constantFrom('constructor', 'toString', 'hasOwnProperty', '7', '07', '2026'),
);
const accounts = fc.uniqueArray(
  fc.record({
    id,
    weighs: fc.constantFrom(undefined, 'falseRefusals' as const),
    budgets: fc.array(fc.record({ id, openingTokens: fc.nat() }), { maxLength: 60 }),
  }),
  { maxLength: 12, selector: (account) => account.id },
);

function toDocument(
  generated: readonly {
    id: string;
    weighs: 'falseRefusals' | undefined;
    budgets: { id: string; openingTokens: number }[];
  }[],
): EnvironmentDocument {
  const seen = new Set<string>();
  return {
    ...baseDocument,
    accounts: generated.map((account) => ({
      ...account,
      keyDigests: [digestText(`key of ${account.id}`)],
      budgets: account.budgets.filter((budget) => {
        const isNew = !seen.has(budget.id);
        seen.add(budget.id);
        return isNew;
      }),
    })),
  };
}

test('an index of a compiled and reloaded document returns the values of the document', async (t) => {
  await fc.assert(
    fc.asyncProperty(accounts, async (generated) => {
      const document = toDocument(generated);
      const compiled = compileEnvironment(document);
      const texts = new Map([...objectsOf(compiled)].map(({ digest, text }) => [digest, text]));
      const loaded = await loadConfiguration(new MemoryConfigurationObjects(texts), compiled.root);
      const index = new EnvironmentIndex(loaded);
      for (const account of document.accounts) {
        const accountId = account.id as AccountId;
        t.is(index.accountOfKey(`key of ${account.id}`), accountId);
        t.is(index.weighsOf(accountId), account.weighs ?? 'overspend');
        for (const budget of account.budgets) {
          t.is(index.budgetOf(accountId, budget.id).openingTokens, budget.openingTokens);
        }
        t.throws(() => index.budgetOf(accountId, 'no-such-budget'));
        t.throws(() => index.budgetOf(accountId, '__proto__'));
      }
      t.throws(() => index.accountOfKey('no such key'));
      t.throws(() => index.accountOfKey(undefined));
    }),
    { seed: 1, numRuns: 60 },
  );
});

test('the order of accounts and budgets does not affect the compiled objects', (t) => {
  fc.assert(
    fc.property(accounts, (generated) => {
      const document = toDocument(generated);
      const reversed = {
        ...document,
        accounts: document.accounts
          .map((account) => ({ ...account, budgets: account.budgets.toReversed() }))
          .toReversed(),
      };
      t.deepEqual(compileEnvironment(reversed).root, compileEnvironment(document).root);
    }),
    { seed: 2, numRuns: 60 },
  );
});

test('a large account is split into many objects of limited size', (t) => {
  const budgets = Array.from({ length: 20_000 }, (_, at) => ({ id: `b${at}`, openingTokens: at }));
  const account = { id: 'large', keyDigests: [digestText('k')], budgets };
  const compiled = compileEnvironment({ ...baseDocument, accounts: [account] });
  const sizes = [...objectsOf(compiled)].map(({ text }) => text.length);
  t.true(Math.max(...sizes) < 1.1 * maxLeafBytes, `${Math.max(...sizes)} bytes`);
  t.is([...new EnvironmentIndex(compiled).budgets()].length, 20_000);
});
