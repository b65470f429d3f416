import test from 'ava';
import type { RequestId } from '@acaciacrank/base';
import { compareWithRecords } from './index.js';

const page = (settledTokens: number, grantTokens: number, billTokens: number) => ({
  key: 'ledger/a/0',
  version: 1,
  value: {
    format: 1,
    budgets: {
      b: {
        prepaidTokens: 100,
        settledTokens,
        topUps: {},
        grants: { g: { holder: 'i', tokens: grantTokens, expiresAtMs: 0 } },
        bills: { k: { requestId: 'r1', tokens: billTokens, bodyDigest: 'd', atMs: 0 } },
      },
    },
  },
});
const done = (requestId: string) => ({
  requestId: requestId as RequestId,
  content: '',
  takenAtMs: 0,
  promptTokens: 10,
  outputTokens: 20,
  state: 'done' as const,
  prefixHit: false,
});
const run = (body: string) => ({
  requestId: 'r1' as RequestId,
  method: 'POST',
  path: '/',
  body,
  atMs: 0,
});

test('a ledger that matches the records has no mismatch', (t) => {
  const records = {
    objects: [page(30, 70, 30)],
    engineRecords: [done('r1')],
    serviceRuns: [run('1')],
  };
  t.deepEqual(compareWithRecords(records), []);
});

test('each kind of mismatch is found', (t) => {
  const mismatches = compareWithRecords({
    objects: [page(31, 70, 31)],
    engineRecords: [done('r1'), done('r2')],
    serviceRuns: [run('1'), run('1')],
  });
  t.deepEqual(
    mismatches.map((mismatch) => mismatch.kind),
    ['overspend', 'wrongBill', 'unbilled', 'repeatedRun'],
  );
});
