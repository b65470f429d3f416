import test from 'ava';
import { ManualClock, type AccountId, type InstanceId } from '@acaciacrank/base';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import {
  PrepaidPeers,
  type LoanResponse,
  type LoanOutcome,
  type LoanRequest,
} from '../PrepaidPeers/index.js';
import { PrepaidAccount } from './index.js';

const home = 'home' as InstanceId;

/** A home that lends what a request needs, and responds to requests for stock as configured. */
class ScriptedHome extends PrepaidPeers {
  stockOutcome: LoanOutcome = 'lent';
  #lentTokens = 0;

  override homeOf(): InstanceId {
    return home;
  }

  override backupOf(): undefined {
    return undefined;
  }

  override ask(_peer: InstanceId, { neededTokens }: LoanRequest): Promise<LoanResponse> {
    this.#lentTokens += neededTokens;
    const outcome = neededTokens > 0 ? 'lent' : this.stockOutcome;
    return Promise.resolve({ lender: 'home~1', lentTokens: this.#lentTokens, outcome });
  }

  override serve(): Disposable {
    return { [Symbol.dispose]: () => undefined };
  }
}

// The home of an account has no spare stock for a moment and declines another instance's request for
// stock. When the other instance took this for an exhausted account, it refused all requests for the next
// second, although the home lends what a request needs.
test('a home without spare stock is still asked for the tokens that a request needs', async (t) => {
  const clock = new ManualClock();
  const peers = new ScriptedHome();
  const account = new PrepaidAccount(
    { prepaidTokens: 1_000_000, version: 1 },
    {
      accountId: 'one' as AccountId,
      processRun: { instanceId: 'other' as InstanceId, runId: 'r' },
      store: new MemoryObjectStore(new MemoryPlatform(clock), clock),
      clock,
      peers,
      onEvent: () => undefined,
      random: () => 0.5,
      isStoreUnavailable: () => false,
    },
  );
  t.is(await account.refill(50_000), 'reserved');
  t.true(account.tryReserve(50_000));
  peers.stockOutcome = 'heldElsewhere';
  await clock.advance(1_000);
  account.tick();
  await clock.advance(10);
  t.is(await account.refill(10_000), 'reserved');
  t.true(account.tryReserve(10_000));
});
