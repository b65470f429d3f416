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

/** An instance list whose first four reads fail. */
class InitiallyUnavailableList extends InstanceList {
  readonly #list: InstanceList;
  #failuresLeft = 4;

  constructor(list: InstanceList) {
    super();
    this.#list = list;
  }

  override read(): Promise<readonly ListedInstance[]> {
    this.#failuresLeft -= 1;
    if (this.#failuresLeft < 0) return this.#list.read();
    return Promise.reject(new RouterError('storeUnavailable', 'the platform did not answer'));
  }
}

// Guards against a crash loop of an instance that starts while the platform's instance list is
// unavailable. It must keep running, and serve requests once the list is available.
test('an instance that starts while the list is unavailable serves requests once it is available', async (t) => {
  await using fleet = await createLocalFleet({
    document,
    instances: 1,
    wrap: (parts) => ({ ...parts, list: new InitiallyUnavailableList(parts.list) }),
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
