import test from 'ava';
import { digestText, type BudgetId, type ClassName } from '@acaciacrank/base';
import type { ChatCall } from '@acaciacrank/callers';
import { FaultyUpstreams } from '../../_lib/FaultyUpstreams/index.js';
import { createLocalFleet } from '../../createLocalFleet/index.js';

const document = `environment: test
classes:
  - { name: review, firstTokenDeadlineMs: 8000, totalDeadlineMs: 20000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 2000 }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 1000000 }
`;

const engineCount = 8;
const deadlyText = 'the deadly question';

function chatCall(idempotencyKey: string, content: string): ChatCall {
  return {
    accountKey: 'secret',
    budgetId: 'one-2026' as BudgetId,
    className: 'review' as ClassName,
    idempotencyKey,
    model: 'small',
    messages: [{ role: 'user', content }],
    maxTokens: 20,
  };
}

/** Whether engines end under the next request, and those that have. */
interface MortalState {
  isDeadly: boolean;
  readonly ended: Set<string>;
}

/** Creates a fleet of one instance whose engines end while the state says so. */
async function createMortalFleet(engines: number, state: MortalState) {
  const fleet = await createLocalFleet({
    document,
    engines,
    wrap: (parts) => {
      const clients = new FaultyUpstreams(parts.clients, ({ engineId }) => {
        if (!state.isDeadly) return undefined;
        state.ended.add(engineId);
        clients.endedEngines.add(engineId);
        return { kind: 'dies', afterTokens: 0 };
      });
      return { ...parts, clients };
    },
  });
  const [local] = fleet.instances;
  if (local === undefined) throw new Error('there is no instance');
  return { fleet, local };
}

// Guards against a prompt that ends one engine after another while its caller repeats it under new keys.
test('a prompt ends at most three engines, however often it is repeated', async (t) => {
  const engines = { isDeadly: true, ended: new Set<string>() };
  const { fleet, local } = await createMortalFleet(engineCount, engines);
  const ask = async (key: string, content: string) => {
    let hasEnd = false;
    for await (const frame of local.instance.chat.run(
      chatCall(key, content),
      new AbortController().signal,
    ))
      hasEnd ||= frame.kind === 'final';
    return hasEnd;
  };
  for (let repeat = 0; repeat < engineCount; repeat += 1) {
    await fleet.clock.runUntil(ask(`deadly-${repeat}`, deadlyText).catch(() => undefined));
  }
  engines.isDeadly = false;
  t.true(engines.ended.size >= 1 && engines.ended.size <= 3, `${engines.ended.size} ended`);
  t.true(await fleet.clock.runUntil(ask('other', 'how long does broth boil?')));
  await fleet[Symbol.asyncDispose]();
});

// Guards against a message that ends one engine after another, since no two of the prompts that begin with it are alike.
test('a message that prompts share ends a bounded number of engines', async (t) => {
  const engines = { isDeadly: false, ended: new Set<string>() };
  const { fleet, local } = await createMortalFleet(16, engines);
  const ask = async (key: string, context: string) => {
    const call = chatCall(key, `the question ${key}`);
    const shared = ['be brief', context].map((content) => ({ role: 'system' as const, content }));
    const messages = [...shared, ...call.messages];
    engines.isDeadly = context === deadlyText;
    let hasEnd = false;
    for await (const frame of local.instance.chat.run(
      { ...call, messages },
      new AbortController().signal,
    ))
      hasEnd ||= frame.kind === 'final';
    return hasEnd;
  };
  let answered = 0;
  for (let repeat = 0; repeat < 20; repeat += 1) {
    await fleet.clock.runUntil(ask(`deadly-${repeat}`, deadlyText).catch(() => undefined));
    await fleet.clock.runUntil(fleet.clock.sleep(150));
    const isAnswered = await fleet.clock.runUntil(ask(`sound-${repeat}`, `context ${repeat % 2}`));
    if (isAnswered) answered += 1;
  }
  t.true(engines.ended.size >= 1 && engines.ended.size <= 8, `${engines.ended.size} ended`);
  t.is(answered, 20);
  await fleet[Symbol.asyncDispose]();
});
