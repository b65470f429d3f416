import test from 'ava';
import { ManualClock, type AccountId, type InstanceId } from '@acaciacrank/base';
import { FleetLinks, FleetQuestions, type FleetMessage } from '@acaciacrank/fleet';
import type { LoanAnswer, LoanQuestion } from '@acaciacrank/ledger';
import { FleetPrepaidPeers } from './index.js';

const accountId = 'one' as AccountId;
const ids = ['a', 'b', 'c'] as InstanceId[];
const question: LoanQuestion = {
  accountId,
  borrower: 'a~1',
  limitVersion: 1,
  givenTo: '',
  givenTokens: 0,
  neededTokens: 10,
  wantedTokens: 0,
};

/** Links in memory; an end that is silent neither sends nor receives. */
class MemoryLinks extends FleetLinks {
  static readonly ends = new Map<string, MemoryLinks>();
  isSilent = false;
  readonly #key: string;
  readonly #scene: string;
  readonly #id: InstanceId;

  constructor(scene: string, id: InstanceId) {
    super();
    this.#scene = scene;
    this.#id = id;
    this.#key = `${scene}/${id}`;
    MemoryLinks.ends.set(this.#key, this);
  }

  override send(to: InstanceId, message: FleetMessage): void {
    const end = MemoryLinks.ends.get(`${this.#scene}/${to}`);
    if (end === undefined || this.isSilent || end.isSilent) return;
    queueMicrotask(() => {
      end.deliver(message, this.#id);
    });
  }

  override setPeers(): void {
    // All ends of a scene know each other.
  }
}

function startScene(name: string) {
  const clock = new ManualClock();
  const reach: string[] = [];
  const ends = ids.map((id) => {
    const links = new MemoryLinks(name, id);
    const peers = new FleetPrepaidPeers({
      questions: new FleetQuestions({ links, clock }),
      clock,
      instanceId: id,
      live: () => ids,
      onReach: (peer, isReached) => reach.push(`${id}-${peer} ${isReached}`),
    });
    return { id, links, peers };
  });
  return { clock, ends, reach };
}

function lent(lentTokens: number): LoanAnswer {
  return { lender: 'x~1', lentTokens, outcome: 'lent' };
}

test('all instances name the same home, which names nobody', (t) => {
  const { ends } = startScene('home');
  const homes = new Set(ends.map(({ id, peers }) => peers.homeOf(accountId) ?? id));
  t.is(homes.size, 1);
});

// The instance at which an account's stock is gathered goes silent. Each request would wait for it;
// after the first one the next instance in order takes its place, until it answers again.
test('a home that does not answer is passed over for a while', async (t) => {
  const { clock, ends, reach } = startScene('silent');
  const home = ends.find(({ peers }) => peers.homeOf(accountId) === undefined);
  const asker = ends.find((end) => end !== home);
  if (home === undefined || asker === undefined) return;
  home.peers.serve(() => Promise.resolve(lent(10)));
  home.links.isSilent = true;
  t.is(await clock.runUntil(asker.peers.ask(home.id, question)), undefined);
  t.not(asker.peers.homeOf(accountId), home.id);
  home.links.isSilent = false;
  await clock.advance(2_000);
  t.is(asker.peers.homeOf(accountId), home.id);
  t.deepEqual(await clock.runUntil(asker.peers.ask(home.id, question)), lent(10));
  t.deepEqual(reach, [`${asker.id}-${home.id} false`, `${asker.id}-${home.id} true`]);
});

// The home has to ask a slow store before it can lend. Its peer must not take it for gone, and learns
// of the loan by the next answer.
test('a home that waits for the store answers in time', async (t) => {
  const { clock, ends } = startScene('slow');
  const [asker, home] = ends;
  if (asker === undefined || home === undefined) return;
  let total = 0;
  home.peers.serve(async ({ neededTokens }) => {
    if (neededTokens === 0) return lent(total);
    await clock.sleep(400);
    total += neededTokens;
    return lent(total);
  });
  const first = await clock.runUntil(asker.peers.ask(home.id, question));
  t.is(first?.outcome, 'storeAway');
  await clock.advance(500);
  const next = await clock.runUntil(asker.peers.ask(home.id, { ...question, neededTokens: 0 }));
  t.is(next?.lentTokens, 10);
});
