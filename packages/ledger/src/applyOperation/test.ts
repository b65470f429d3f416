import test from 'ava';
import type {
  AccountId,
  BudgetId,
  GrantId,
  InstanceId,
  RequestId,
  RequestKey,
} from '@acaciacrank/base';
import { emptyPage } from '../pageSchema/index.js';
import type {
  BillOperation,
  BudgetRef,
  GrantOperation,
  LedgerPage,
  PageOperation,
} from '../types.js';
import { applyOperation, availableTokens } from './index.js';

const budget: BudgetRef = {
  accountId: 'a' as AccountId,
  budgetId: 'b' as BudgetId,
  openingTokens: 100,
};
const options = { nowMs: 1_000, graceMs: 50, keyProtectionMs: 10_000 };
const grant = (grantId: string, wantedTokens: number): GrantOperation => ({
  kind: 'grant',
  budget,
  grantId: grantId as GrantId,
  holder: 'i1' as InstanceId,
  wantedTokens,
  minTokens: 1,
  maxShare: 1,
  maxTotalShare: 1,
  unreachableWeight: 1,
  reachable: undefined,
  expiresAtMs: 2_000,
});
const bill = (grantId: string, key: string, requestId: string, tokens: number): BillOperation => ({
  kind: 'bill',
  budget,
  parts: [{ grantId: grantId as GrantId, tokens }],
  requestKey: key as RequestKey,
  requestId: requestId as RequestId,
  bodyDigest: 'd',
  tokens,
});

function run(page: LedgerPage, operation: PageOperation, nowMs = 1_000) {
  return applyOperation(page, operation, { ...options, nowMs });
}

test('the sum of grants never exceeds the budget', (t) => {
  const first = run(emptyPage, grant('g1', 70));
  const second = run(first.page, grant('g2', 70));
  t.deepEqual(second.result, { kind: 'granted', tokens: 30, availableTokens: 0 });
  t.deepEqual(run(second.page, grant('g3', 1)).result, {
    kind: 'denied',
    availableTokens: 0,
    holders: ['i1'],
  });
});

test('a request key is billed once, whichever attempt wrote the bill', (t) => {
  const granted = run(emptyPage, grant('g1', 50)).page;
  const billed = run(granted, bill('g1', 'k', 'r1', 20)).page;
  t.is(run(billed, bill('g1', 'k', 'r1', 20)).page, billed);
  t.is(run(billed, bill('g1', 'k', 'r2', 25)).result.kind, 'alreadyBilled');
  t.is(billed.budgets.b?.settledTokens, 20);
  t.is(billed.budgets.b?.grants.g1?.tokens, 30);
});

// An instance is paused past the expiry of its grant, and the tokens are granted again. When it resumes,
// it bills what it generated. The bill may take only what is left of the budget.
test('a bill whose grant was reclaimed is charged only up to the available tokens', (t) => {
  const granted = run(emptyPage, grant('g1', 60)).page;
  const lateMs = 2_051;
  const regranted = run(granted, { ...grant('g2', 90), expiresAtMs: 9_000 }, lateMs);
  t.deepEqual(regranted.result, { kind: 'granted', tokens: 90, availableTokens: 10 });
  const late = run(regranted.page, bill('g1', 'k', 'r1', 60), lateMs);
  t.deepEqual(late.result, {
    kind: 'billed',
    chargedTokens: 10,
    unbillableTokens: 50,
    availableTokens: 0,
  });
  const after = late.page.budgets.b;
  t.is(after === undefined ? -1 : availableTokens(after), 0);
});

test('a top-up is applied once per id', (t) => {
  const topUp: PageOperation = { kind: 'topUp', budget, topUpId: 't1', tokens: 5 };
  const once = run(emptyPage, topUp).page;
  t.is(run(once, topUp).page, once);
  t.is(once.budgets.b?.prepaidTokens, 105);
});

// The response to a return is lost and the return is retried while the rest of the grant is in use.
// Applied twice, it would return tokens that a running request spends.
test('a return is applied once per number', (t) => {
  const granted = run(emptyPage, grant('g1', 60)).page;
  const createReturn = (returnNumber: number): PageOperation => ({
    kind: 'return',
    budget,
    grantId: 'g1' as GrantId,
    returnedBy: 'i1.1',
    returnNumber,
    tokens: 20,
  });
  const once = run(granted, createReturn(2)).page;
  t.is(once.budgets.b?.grants.g1?.tokens, 40);
  t.is(run(once, createReturn(2)).page, once);
  t.is(run(once, createReturn(1)).page, once);
  t.is(run(once, createReturn(3)).page.budgets.b?.grants.g1?.tokens, 20);
});

test('a renewal neither restores a removed grant nor shortens an existing one', (t) => {
  const renew: PageOperation = {
    kind: 'renew',
    budget,
    grantId: 'g1' as GrantId,
    expiresAtMs: 1_500,
  };
  t.deepEqual(run(emptyPage, renew).result, { kind: 'gone' });
  const granted = run(emptyPage, grant('g1', 60)).page;
  t.is(run(granted, renew).page, granted);
});

test('shares limit a refill but not the tokens that a waiting request needs', (t) => {
  const shares = {
    maxShare: 0.2,
    maxTotalShare: 0.5,
    unreachableWeight: 2,
    reachable: new Set(['i1' as InstanceId]),
  };
  const refill = { ...grant('g1', 90), ...shares, minTokens: 0 };
  t.like(run(emptyPage, refill).result, { kind: 'granted', tokens: 20 });
  t.like(run(emptyPage, { ...refill, minTokens: 70 }).result, { kind: 'granted', tokens: 70 });
  const unreachable = { ...grant('g0', 25), holder: 'i2' as InstanceId };
  // The 25 tokens of the unreachable holder count as 50, which uses up the total share of one half.
  t.is(run(run(emptyPage, unreachable).page, refill).result.kind, 'denied');
});
