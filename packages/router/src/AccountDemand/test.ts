import test from 'ava';
import { ManualClock, type AccountId } from '@acaciacrank/base';
import { AccountDemand } from './index.js';

const account = 'one' as AccountId;

test('the average follows the open requests, and idle accounts are removed', async (t) => {
  const clock = new ManualClock();
  const demand = new AccountDemand({ clock, timeConstantMs: 1_000 });
  const openRequests = Array.from({ length: 10 }, () => demand.beginRequest(account));
  t.is(demand.average(account), 0);
  await clock.advance(10_000);
  t.is(Math.round(demand.average(account)), 10);
  for (const request of openRequests) request[Symbol.dispose]();
  await clock.advance(10_000);
  demand.forgetIdle();
  t.is(demand.size, 0);
  t.is(demand.average(account), 0);
});
