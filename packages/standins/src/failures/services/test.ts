import test, { type ExecutionContext } from 'ava';
import { digestText, RouterError, type BudgetId, type ClassName } from '@acaciacrank/base';
import type { ServiceCall } from '@acaciacrank/callers';
import { FixedGrantPolicy, readBudget } from '@acaciacrank/ledger';
import type { ServiceResponse } from '@acaciacrank/upstreams';
import { FaultyUpstreams, type ServiceFaultPlan } from '../../_lib/FaultyUpstreams/index.js';
import {
  createLocalFleet,
  type LocalFleet,
  type LocalInstance,
} from '../../createLocalFleet/index.js';

const document = `environment: test
classes:
  - { name: records, firstTokenDeadlineMs: 2000, totalDeadlineMs: 5000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true }
  - { name: records, kind: plain, tokensPerCall: 5 }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 1000 }
      - { id: one-call, openingTokens: 5 }
`;

interface Bench {
  readonly fleet: LocalFleet;
  readonly upstreams: FaultyUpstreams[];
}

async function start(plan: ServiceFaultPlan, services = 2): Promise<Bench> {
  const upstreams: FaultyUpstreams[] = [];
  const fleet = await createLocalFleet({
    document,
    services,
    instanceOptions: { grantPolicy: new FixedGrantPolicy(50) },
    wrap: (parts) => {
      const clients = new FaultyUpstreams(parts.clients, () => undefined, plan);
      upstreams.push(clients);
      return { ...parts, clients };
    },
  });
  return { fleet, upstreams };
}

function serviceCall(idempotencyKey: string, changes: Partial<ServiceCall> = {}): ServiceCall {
  return {
    accountKey: 'secret',
    budgetId: 'one-2026' as BudgetId,
    className: 'records' as ClassName,
    idempotencyKey,
    service: 'records',
    method: 'POST',
    path: '/certificates',
    headers: {},
    body: Buffer.from('{}'),
    ...changes,
  };
}

function call(local: LocalInstance, serviceCall: ServiceCall): Promise<ServiceResponse> {
  return local.instance.services.run(serviceCall, new AbortController().signal);
}

async function errorOf(work: Promise<unknown>): Promise<RouterError | undefined> {
  try {
    await work;
  } catch (error) {
    if (error instanceof RouterError) return error;
    throw error;
  }
  return undefined;
}

function runsOf({ fleet }: Bench): number {
  return [...fleet.clients.services.values()].reduce((sum, { runs }) => sum + runs.length, 0);
}

/** Bills and spend of a budget, once every reservation has been settled or released. */
async function booksOf(t: ExecutionContext, { fleet }: Bench, budgetId = 'one-2026') {
  const [first] = fleet.instances as [LocalInstance];
  for (const { instance } of fleet.instances) {
    t.is(instance.openWork, 0);
    await fleet.clock.runUntil(instance.ledger.closeAll());
  }
  const budget = { accountId: 'one' as never, budgetId: budgetId as BudgetId, openingTokens: 0 };
  const status = await fleet.clock.runUntil(readBudget(first.store, budget));
  t.is(status.grantedTokens, 0);
  return { bills: status.bills, settledTokens: status.settledTokens };
}

// A franchisee's certificate is issued, but the answer is lost on the way back. The app retries at
// another instance. It must not be issued again, not be called "not run", and be charged once.
test('a call whose answer is lost is billed once and never run again', async (t) => {
  const bench = await start(() => 'answerLost');
  await using fleet = bench.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const lost = await fleet.clock.runUntil(errorOf(call(first, serviceCall('c1'))));
  t.like(lost, { kind: 'outcomeUnknown', ran: 'unknown' });
  const again = await fleet.clock.runUntil(errorOf(call(second, serviceCall('c1'))));
  t.like(again, { kind: 'outcomeUnknown', ran: 'unknown' });
  t.is(runsOf(bench), 1);
  await fleet.clock.advance(1_000);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

// A confirmation goes to a service whose connection is silent. The caller is told at the class's
// total deadline, not later, that the outcome is not known; the call counts as one that may have run.
test('a call on a silent connection ends at its total deadline, billed once', async (t) => {
  const bench = await start(() => 'silent');
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const startedMs = fleet.clock.monotonicMs();
  const error = await fleet.clock.runUntil(errorOf(call(first, serviceCall('c1'))));
  t.is(fleet.clock.monotonicMs() - startedMs, 5_000);
  t.like(error, { kind: 'outcomeUnknown', ran: 'unknown' });
  t.is(runsOf(bench), 1);
  await fleet.clock.advance(1_000);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

// The booking service is down for a moment. The family is told "not run", for the request, and may
// press the button again: under the same key, at any instance, it then runs, once.
test('a call that reached no service is not run, costs nothing and may be retried', async (t) => {
  let isDown = true;
  const bench = await start(() => (isDown ? 'refused' : undefined));
  await using fleet = bench.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const error = await fleet.clock.runUntil(errorOf(call(first, serviceCall('c1'))));
  t.like(error, { kind: 'upstreamUnavailable', ran: 'notRun', claimScope: 'request' });
  t.is(runsOf(bench), 0);
  t.deepEqual(await booksOf(t, bench), { bills: 0, settledTokens: 0 });
  isDown = false;
  const answer = await fleet.clock.runUntil(call(second, serviceCall('c1')));
  const again = await fleet.clock.runUntil(call(first, serviceCall('c1')));
  t.deepEqual(Buffer.from(again.body), Buffer.from(answer.body));
  t.is(runsOf(bench), 1);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

// The store goes away between intent and refusal. The call did not run, but no record can say so: the
// caller is told at once, and only of this attempt.
test('without a durable record a refusal speaks for the attempt only', async (t) => {
  const bench = await start(() => 'refused');
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  await fleet.clock.runUntil(call(first, serviceCall('read', { method: 'GET' })).catch(() => 0));
  const refused = errorOf(call(first, serviceCall('c1')));
  await fleet.clock.advance(0);
  first.store.link.isDown = true;
  const error = await fleet.clock.runUntil(refused);
  t.like(error, { ran: 'notRun', claimScope: 'attempt' });
  first.store.link.isDown = false;
  await fleet.clock.advance(60_000);
  t.deepEqual(await booksOf(t, bench), { bills: 0, settledTokens: 0 });
});

// One of two record services refuses connections. No byte of the certificate reached it, so the other
// one may issue it, once.
test('a call that reached nobody goes to another service', async (t) => {
  const bench = await start((_, index) => (index === 0 ? 'refused' : undefined));
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  t.is((await fleet.clock.runUntil(call(first, serviceCall('c1')))).status, 201);
  t.is(runsOf(bench), 1);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

// A family closes the page while its confirmation runs, and opens it again. The call cannot be
// undone, so it runs to its end; the retry gets its answer.
test('a call that may not be repeated does not end with its caller', async (t) => {
  const bench = await start(() => undefined);
  await using fleet = bench.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const abort = new AbortController();
  const left = errorOf(first.instance.services.run(serviceCall('c1'), abort.signal));
  await fleet.clock.advance(5);
  abort.abort();
  t.like(await fleet.clock.runUntil(left), { kind: 'cancelled', ran: 'unknown' });
  await fleet.clock.advance(100);
  t.is((await fleet.clock.runUntil(call(second, serviceCall('c1')))).status, 201);
  t.is(runsOf(bench), 1);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

test('two calls under one key at one instance are one run with one answer', async (t) => {
  const bench = await start(() => undefined);
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const both = [call(first, serviceCall('c1')), call(first, serviceCall('c1'))];
  const other = errorOf(call(first, serviceCall('c1', { body: Buffer.from('other') })));
  const [one, two] = await fleet.clock.runUntil(Promise.all(both));
  t.deepEqual(Buffer.from(one?.body ?? []), Buffer.from(two?.body ?? []));
  t.like(await fleet.clock.runUntil(other), { kind: 'keyReused' });
  t.is(runsOf(bench), 1);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

// A family spends its last tokens on a confirmation whose answer it never sees. The retry needs no
// tokens; a refusal for want of them would hide that the shelter is booked.
test('the answer of a call that used up its budget is still given to its retry', async (t) => {
  const bench = await start(() => undefined);
  await using fleet = bench.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const lastCall = serviceCall('c1', { budgetId: 'one-call' as BudgetId });
  await fleet.clock.runUntil(call(first, lastCall));
  t.is((await fleet.clock.runUntil(call(second, lastCall))).status, 201);
  const next = { ...lastCall, idempotencyKey: 'c2' };
  const refused = await fleet.clock.runUntil(errorOf(call(second, next)));
  t.like(refused, { kind: 'budgetExhausted', ran: 'notRun', claimScope: 'attempt' });
  t.is(runsOf(bench), 1);
});

// A caller that looks for a free shelter books elsewhere: one of two services is silent. The check may
// be repeated, so it goes to the other one within the class's deadline, and is billed once.
test('a call that may be repeated leaves a silent service for another', async (t) => {
  const bench = await start((_, index) => (index === 0 ? 'silent' : undefined));
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const startedMs = fleet.clock.monotonicMs();
  const answer = await fleet.clock.runUntil(call(first, serviceCall('g1', { method: 'GET' })));
  t.is(answer.status, 200);
  t.true(fleet.clock.monotonicMs() - startedMs < 2_000);
  t.deepEqual(await booksOf(t, bench), { bills: 1, settledTokens: 5 });
});

test("a service's own refusal is passed on whole when no other one can answer", async (t) => {
  const bench = await start(() => 'busy');
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const answer = await fleet.clock.runUntil(call(first, serviceCall('g1', { method: 'GET' })));
  t.is(answer.status, 503);
  t.is(Buffer.from(answer.body).toString(), 'busy');
});

// All record services break every connection. Without a bound each of a hundred reads would be sent
// three times, just when the services can take the least.
test('retries stay a small part of calls while everything fails', async (t) => {
  const bench = await start(() => 'answerLost', 3);
  await using fleet = bench.fleet;
  const [first] = fleet.instances as [LocalInstance];
  for (let count = 0; count < 100; count += 1) {
    const read = serviceCall(`g${count}`, { method: 'GET', budgetId: 'one-2026' as BudgetId });
    await fleet.clock.runUntil(errorOf(call(first, read)));
  }
  const attempts = bench.upstreams[0]?.serviceCalls ?? 0;
  t.true(attempts >= 100 && attempts <= 130, `${attempts} attempts for 100 calls`);
  t.deepEqual(await booksOf(t, bench), { bills: 0, settledTokens: 0 });
});
