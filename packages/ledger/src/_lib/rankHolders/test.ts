import test from 'ava';
import type { InstanceId } from '@acaciacrank/base';
import { rankHolders } from './index.js';

const page = {
  epoch: 0,
  isWithheld: false,
  endedTokens: 5_000,
  grants: {
    'a~1': { grantedTokens: 900, boundTokens: 800 },
    'b~1': { grantedTokens: 500, boundTokens: 100 },
    'c~1': { grantedTokens: 700, boundTokens: 700 },
    'd~1': { grantedTokens: 9_000, boundTokens: 0 },
  },
};

test('holders are in descending order of tokens, without those that hold none', (t) => {
  const ownInstance = 'd' as InstanceId;
  t.deepEqual(rankHolders({ page, loans: [], ownInstance }), ['b', 'a'] as InstanceId[]);
  const loans = [['a~1', 600] as const];
  t.deepEqual(rankHolders({ page, loans, ownInstance }), ['a', 'b'] as InstanceId[]);
});

test('without a page only loans are considered', (t) => {
  const loans = [['c~2', 1] as const];
  const ownInstance = 'd' as InstanceId;
  t.deepEqual(rankHolders({ page: undefined, loans, ownInstance }), ['c'] as InstanceId[]);
});
