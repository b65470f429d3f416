import test from 'ava';
import { ManualClock, type AccountId, type InstanceId } from '@acaciacrank/base';
import { FleetLinks, FleetRpc, type FleetMessage } from '@acaciacrank/fleet';
import type { LoanResponse, LoanRequest } from '@acaciacrank/ledger';
import { FleetPrepaidPeers } from './index.js';

const accountId = 'one' as AccountId;
const ids = ['a', 'b', 'c'] as InstanceId[];
const request: LoanRequest = {
  accountId,
  borrower: 'a~1',
  limitVersion: 1,
  givenTo: '',
  givenTokens: 0,
  neededTokens: 10,
  wantedTokens: 0,
};

/** In-memory connections between instances; a silent endpoint neither sends nor receives. */
class MemoryLinks extends FleetLinks {
  static readonly endpoints = new Map<string, MemoryLinks>();
  isSilent = false;
  readonly #key: string;
  readonly #network: string;
  readonly #id: InstanceId;

  constructor(network: string, id: InstanceId) {
    super();
    this.#network = network;
    this.#id = id;
    this.#key = `${network}/${id}`;
    MemoryLinks.endpoints.set(this.#key, this);
  }

  override send(to: InstanceId, message: FleetMessage): void {
    const endpoint = MemoryLinks.endpoints.get(`${this.#network}/${to}`);
    if (endpoint === undefined || this.isSilent || endpoint.isSilent) return;
    queueMicrotask(() => {
      endpoint.deliver(message, this.#id);
    });
  }

  override setPeers(): void {
    // All endpoints of a network know each other.
  }
}

function startNetwork(name: string) {
  const clock = new ManualClock();
  const reachabilityChanges: string[] = [];
  const endpoints = ids.map((id) => {
    const links = new MemoryLinks(name, id);
    const peers = new FleetPrepaidPeers({
      rpc: new FleetRpc({ links, clock }),
      clock,
      instanceId: id,
      live: () => ids,
      onReachabilityChange: (peer, isReached) =>
        reachabilityChanges.push(`${id}-${peer} ${isReached}`),
    });
    return { id, links, peers };
  });
  return { clock, endpoints, reachabilityChanges };
}

function lent(lentTokens: number): LoanResponse {
  return { lender: 'x~1', lentTokens, outcome: 'lent' };
}

test('all instances select the same home, which itself selects none', (t) => {
  const { endpoints } = startNetwork('home');
  const homes = new Set(endpoints.map(({ id, peers }) => peers.homeOf(accountId) ?? id));
  t.is(homes.size, 1);
});

// The home instance, at which an account's tokens are concentrated, stops responding. Without the
// fallback each request would wait for it; after the first timeout the next instance in the ranking
// takes its place, until the home responds again.
test('a home that does not reply is skipped temporarily', async (t) => {
  const { clock, endpoints, reachabilityChanges } = startNetwork('silent');
  const home = endpoints.find(({ peers }) => peers.homeOf(accountId) === undefined);
  const borrower = endpoints.find((endpoint) => endpoint !== home);
  if (home === undefined || borrower === undefined) return;
  home.peers.serve(() => Promise.resolve(lent(10)));
  home.links.isSilent = true;
  t.is(await clock.runUntil(borrower.peers.ask(home.id, request)), undefined);
  t.not(borrower.peers.homeOf(accountId), home.id);
  home.links.isSilent = false;
  await clock.advance(2_000);
  t.is(borrower.peers.homeOf(accountId), home.id);
  t.deepEqual(await clock.runUntil(borrower.peers.ask(home.id, request)), lent(10));
  t.deepEqual(reachabilityChanges, [
    `${borrower.id}-${home.id} false`,
    `${borrower.id}-${home.id} true`,
  ]);
});

// The home instance has to ask a slow store before it can lend tokens. The borrower must not consider
// it unreachable, and learns of the loan from the next reply.
test('a home that waits for the store replies before the timeout', async (t) => {
  const { clock, endpoints } = startNetwork('slow');
  const [borrower, home] = endpoints;
  if (borrower === undefined || home === undefined) return;
  let total = 0;
  home.peers.serve(async ({ neededTokens }) => {
    if (neededTokens === 0) return lent(total);
    await clock.sleep(400);
    total += neededTokens;
    return lent(total);
  });
  const first = await clock.runUntil(borrower.peers.ask(home.id, request));
  t.is(first?.outcome, 'storeAway');
  await clock.advance(500);
  const next = await clock.runUntil(borrower.peers.ask(home.id, { ...request, neededTokens: 0 }));
  t.is(next?.lentTokens, 10);
});
