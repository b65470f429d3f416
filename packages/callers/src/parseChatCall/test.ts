import test from 'ava';
import type { BudgetId } from '@acaciacrank/base';
import { parseChatCall } from './index.js';

const identity = {
  accountKey: 'k',
  budgetId: 'b' as BudgetId,
  idempotencyKey: 'i',
  className: undefined,
};

test('an error names the invalid field', (t) => {
  t.throws(() => parseChatCall(identity, '{"model":"m","messages":[{"role":"user"}]}'), {
    message: /messages\.0\.content/,
  });
  t.throws(() => parseChatCall(identity, '{'), { message: /not JSON/ });
});

test('parses a valid body', (t) => {
  const body =
    '{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"stream":true}';
  const { call, isStreamed } = parseChatCall(identity, body);
  t.true(isStreamed);
  t.is(call.maxTokens, 5);
});
