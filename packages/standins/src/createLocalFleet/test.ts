import test from 'ava';
import { digestText, type AccountId, type BudgetId, type ClassName } from '@acaciacrank/base';
import type { ChatCall, ChatFinalFrame, ServiceCall } from '@acaciacrank/callers';
import { FixedGrantPolicy, readBudget } from '@acaciacrank/ledger';
import { createLocalFleet, type LocalInstance } from './index.js';

const document = `environment: test
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 600000 }
  - { name: shift, firstTokenDeadlineMs: 2000, totalDeadlineMs: 60000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 200 }
  - { name: records, kind: plain, tokensPerCall: 5 }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 1000 }
`;
const budget = {
  accountId: 'one' as AccountId,
  budgetId: 'one-2026' as BudgetId,
  openingTokens: 1_000,
};
const instanceOptions = { grantPolicy: new FixedGrantPolicy(200) };
const identity = {
  accountKey: 'secret',
  budgetId: budget.budgetId,
  className: 'shift' as ClassName,
};

function chatCall(idempotencyKey: string, content = 'how long does the broth boil?'): ChatCall {
  const messages = [{ role: 'user', content }];
  return { ...identity, idempotencyKey, model: 'small', messages, maxTokens: 50 };
}

function serviceCall(idempotencyKey: string): ServiceCall {
  const body = Buffer.from('{}');
  const call = { service: 'records', method: 'POST', path: '/certificates', headers: {}, body };
  return { ...identity, ...call, idempotencyKey };
}

async function runChat(local: LocalInstance, call: ChatCall) {
  let text = '';
  let final: ChatFinalFrame | undefined;
  for await (const frame of local.instance.chat.run(call, new AbortController().signal)) {
    if (frame.kind === 'token') text += frame.text;
    else final = frame;
  }
  return { text, final };
}

test('the bill equals what the engine generated, and a retry at another instance is not billed again', async (t) => {
  await using fleet = await createLocalFleet({ document, instanceOptions });
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const answer = await fleet.clock.runUntil(runChat(first, chatCall('k1')));
  const [record] = [...fleet.clients.engines.values()].flatMap((engine) => [
    ...engine.records.values(),
  ]);
  t.is(answer.final?.billedTokens, (record?.promptTokens ?? 0) + (record?.outputTokens ?? 0));
  const again = await fleet.clock.runUntil(runChat(second, chatCall('k1')));
  t.true(again.final?.isRepeat);
  const status = await fleet.clock.runUntil(readBudget(first.store, budget));
  t.is(answer.final?.billedTokens, status.settledTokens);
  t.is(status.bills, 1);
});

test('a request beyond the budget is refused as not run', async (t) => {
  await using fleet = await createLocalFleet({ document, instanceOptions });
  const [first] = fleet.instances as [LocalInstance];
  const long = runChat(first, chatCall('k1', 'x'.repeat(2_000)));
  const error = await t.throwsAsync(fleet.clock.runUntil(long), {
    message: /one-2026 has 1000 tokens/,
  });
  t.like(error, { kind: 'budgetExhausted', ran: 'notRun' });
  t.is(
    [...fleet.clients.engines.values()].reduce((sum, engine) => sum + engine.records.size, 0),
    0,
  );
});

// Guards against executing and billing a write twice: the connection drops after the call, and the
// caller retries it at another instance. The retry must get the first response.
test('a service write is executed once although the caller retries at another instance', async (t) => {
  await using fleet = await createLocalFleet({ document, instanceOptions });
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const { signal } = new AbortController();
  const issued = await fleet.clock.runUntil(first.instance.services.run(serviceCall('c1'), signal));
  const again = await fleet.clock.runUntil(second.instance.services.run(serviceCall('c1'), signal));
  t.deepEqual(Buffer.from(again.body), Buffer.from(issued.body));
  t.is(fleet.clients.services.get('s1')?.runs.length, 1);
  t.is((await fleet.clock.runUntil(readBudget(first.store, budget))).settledTokens, 5);
});

// Guards against billing twice when the store writes a bill but its response is lost. The final frame
// comes a little later; the budget is charged once.
test('a bill whose write response is lost is found, not written twice', async (t) => {
  await using fleet = await createLocalFleet({ document, instanceOptions });
  const [first] = fleet.instances as [LocalInstance];
  const running = runChat(first, chatCall('k1'));
  await fleet.clock.advance(10);
  first.store.link.responsesToLose = 1;
  const answer = await fleet.clock.runUntil(running);
  t.is(first.store.link.responsesToLose, 0);
  t.false(answer.final?.isRepeat);
  const status = await fleet.clock.runUntil(readBudget(first.store, budget));
  t.is(answer.final?.billedTokens, status.settledTokens);
});
