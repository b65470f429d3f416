import test from 'ava';
import { digestText, RouterError, type BudgetId } from '@acaciacrank/base';
import { InstanceList, type ListedInstance } from '@acaciacrank/store';
import { createLocalFleet, type LocalInstance } from '../../createLocalFleet/index.js';

const document = `environment: test
classes:
  - { name: shift, firstTokenDeadlineMs: 2000, totalDeadlineMs: 60000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 50 }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 10000 }
`;

/** Does not answer the first reads. */
class LateList extends InstanceList {
  readonly #list: InstanceList;
  #missing = 4;

  constructor(list: InstanceList) {
    super();
    this.#list = list;
  }

  override read(): Promise<readonly ListedInstance[]> {
    this.#missing -= 1;
    if (this.#missing < 0) return this.#list.read();
    return Promise.reject(new RouterError('storeUnavailable', 'the platform did not answer'));
  }
}

// A machine is replaced while the platform's instance list does not answer. The new instance used to
// end at once, again and again under its supervisor. It starts, and serves once the list is back.
test('an instance that starts while the list is away serves when it is back', async (t) => {
  await using fleet = await createLocalFleet({
    document,
    instances: 1,
    wrap: (parts) => ({ ...parts, list: new LateList(parts.list) }),
  });
  const [{ instance }] = fleet.instances as [LocalInstance];
  await fleet.clock.advance(30_000);
  const call = {
    accountKey: 'secret',
    budgetId: 'one-2026' as BudgetId,
    className: undefined,
    idempotencyKey: 'k1',
    model: 'small',
    messages: [{ role: 'user', content: 'is the broth done?' }],
    maxTokens: 20,
  };
  const receive = async () => {
    const kinds: string[] = [];
    const frames = instance.chat.run(call, new AbortController().signal);
    for await (const frame of frames) kinds.push(frame.kind);
    return kinds;
  };
  t.is((await fleet.clock.runUntil(receive())).at(-1), 'final');
});
