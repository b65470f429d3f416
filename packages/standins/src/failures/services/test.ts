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

interface Fixture {
  readonly fleet: LocalFleet;
  readonly upstreams: FaultyUpstreams[];
}

async function createFixture(plan: ServiceFaultPlan, services = 2): Promise<Fixture> {
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

function callService(local: LocalInstance, call: ServiceCall): Promise<ServiceResponse> {
  return local.instance.services.run(call, new AbortController().signal);
}

async function catchRouterError(work: Promise<unknown>): Promise<RouterError | undefined> {
  try {
    await work;
  } catch (error) {
    if (error instanceof RouterError) return error;
    throw error;
  }
  return undefined;
}

function countRuns({ fleet }: Fixture): number {
  return [...fleet.clients.services.values()].reduce((sum, { runs }) => sum + runs.length, 0);
}

/** Reads the bills and settled tokens of a budget; asserts that no work and no reservation is left. */
async function readBudgetTotals(t: ExecutionContext, { fleet }: Fixture, budgetId = 'one-2026') {
  const [first] = fleet.instances as [LocalInstance];
  for (const { instance } of fleet.instances) {
    t.is(instance.openWork, 0);
    await fleet.clock.runUntil(instance.ledger.closeAll());
  }
  // `openingTokens` affects none of the values that are read.
  const budget = { accountId: 'one' as never, budgetId: budgetId as BudgetId, openingTokens: 0 };
  const status = await fleet.clock.runUntil(readBudget(first.store, budget));
  t.is(status.grantedTokens, 0);
  return { bills: status.bills, settledTokens: status.settledTokens };
}

// Guards against a call that runs twice, is reported as "not run" or is billed twice: the service runs
// it, but the response is lost, and the caller retries at another instance.
test('a call whose response is lost is billed once and never run again', async (t) => {
  const fixture = await createFixture(() => 'answerLost');
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const firstError = await fleet.clock.runUntil(
    catchRouterError(callService(first, serviceCall('c1'))),
  );
  t.like(firstError, { kind: 'outcomeUnknown', ran: 'unknown' });
  const again = await fleet.clock.runUntil(
    catchRouterError(callService(second, serviceCall('c1'))),
  );
  t.like(again, { kind: 'outcomeUnknown', ran: 'unknown' });
  t.is(countRuns(fixture), 1);
  await fleet.clock.advance(1_000);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against a caller that waits longer than the total deadline of its class: the connection to the
// service hangs. The outcome is unknown, so the call counts as one that may have run.
test('a call on a hanging connection ends at its total deadline and is billed once', async (t) => {
  const fixture = await createFixture(() => 'silent');
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const startedMs = fleet.clock.monotonicMs();
  const error = await fleet.clock.runUntil(catchRouterError(callService(first, serviceCall('c1'))));
  t.is(fleet.clock.monotonicMs() - startedMs, 5_000);
  t.like(error, { kind: 'outcomeUnknown', ran: 'unknown' });
  t.is(countRuns(fixture), 1);
  await fleet.clock.advance(1_000);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against a call that cannot be retried after a short outage of its service. The caller is notified
// "not run" for the whole request; a retry under the same key, at any instance, then runs once.
test('a call that reached no service is reported as not run, costs nothing and may be retried', async (t) => {
  let isDown = true;
  const fixture = await createFixture(() => (isDown ? 'refused' : undefined));
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const error = await fleet.clock.runUntil(catchRouterError(callService(first, serviceCall('c1'))));
  t.like(error, { kind: 'upstreamUnavailable', ran: 'notRun', claimScope: 'request' });
  t.is(countRuns(fixture), 0);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 0, settledTokens: 0 });
  isDown = false;
  const response = await fleet.clock.runUntil(callService(second, serviceCall('c1')));
  const again = await fleet.clock.runUntil(callService(first, serviceCall('c1')));
  t.deepEqual(Buffer.from(again.body), Buffer.from(response.body));
  t.is(countRuns(fixture), 1);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against a claim that no record supports. The store becomes unavailable after the intent is
// written and before the service refuses the call. The call did not run, but no record can say so: the
// caller is notified at once, for this attempt only.
test('without a durable record, not run is claimed for the attempt only', async (t) => {
  const fixture = await createFixture(() => 'refused');
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  await fleet.clock.runUntil(
    callService(first, serviceCall('read', { method: 'GET' })).catch(() => 0),
  );
  const refused = catchRouterError(callService(first, serviceCall('c1')));
  await fleet.clock.advance(0);
  first.store.link.isDown = true;
  const error = await fleet.clock.runUntil(refused);
  t.like(error, { ran: 'notRun', claimScope: 'attempt' });
  first.store.link.isDown = false;
  await fleet.clock.advance(60_000);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 0, settledTokens: 0 });
});

// Guards against failing a call that another service can run. One of two services refuses connections;
// no byte of the call reached it, so the other one may run it, once.
test('a call whose connection is refused goes to another service', async (t) => {
  const fixture = await createFixture((_, index) => (index === 0 ? 'refused' : undefined));
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  t.is((await fleet.clock.runUntil(callService(first, serviceCall('c1')))).status, 201);
  t.is(countRuns(fixture), 1);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against cancelling a call that cannot be undone: the caller disconnects while it runs, and
// retries later. The call runs to its end, and the retry gets its response.
test('a call that is not repeatable continues after its caller disconnects', async (t) => {
  const fixture = await createFixture(() => undefined);
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const abort = new AbortController();
  const disconnected = catchRouterError(
    first.instance.services.run(serviceCall('c1'), abort.signal),
  );
  await fleet.clock.advance(5);
  abort.abort();
  t.like(await fleet.clock.runUntil(disconnected), { kind: 'cancelled', ran: 'unknown' });
  await fleet.clock.advance(100);
  t.is((await fleet.clock.runUntil(callService(second, serviceCall('c1')))).status, 201);
  t.is(countRuns(fixture), 1);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

test('two calls with the same key at one instance run once and get the same response', async (t) => {
  const fixture = await createFixture(() => undefined);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const both = [callService(first, serviceCall('c1')), callService(first, serviceCall('c1'))];
  const other = catchRouterError(
    callService(first, serviceCall('c1', { body: Buffer.from('other') })),
  );
  const [one, two] = await fleet.clock.runUntil(Promise.all(both));
  t.deepEqual(Buffer.from(one?.body ?? []), Buffer.from(two?.body ?? []));
  t.like(await fleet.clock.runUntil(other), { kind: 'keyReused' });
  t.is(countRuns(fixture), 1);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against a retry that is refused for lack of tokens, which would hide that its call ran: the
// first attempt used the last tokens of the budget, and its caller never saw the response. The retry
// needs no tokens.
test('a retry gets the response of a call that used up its budget', async (t) => {
  const fixture = await createFixture(() => undefined);
  await using fleet = fixture.fleet;
  const [first, second] = fleet.instances as [LocalInstance, LocalInstance];
  const lastCall = serviceCall('c1', { budgetId: 'one-call' as BudgetId });
  await fleet.clock.runUntil(callService(first, lastCall));
  t.is((await fleet.clock.runUntil(callService(second, lastCall))).status, 201);
  const next = { ...lastCall, idempotencyKey: 'c2' };
  const refused = await fleet.clock.runUntil(catchRouterError(callService(second, next)));
  t.like(refused, { kind: 'budgetExhausted', ran: 'notRun', claimScope: 'attempt' });
  t.is(countRuns(fixture), 1);
});

// Guards against a read that fails because one of two services hangs. A read is repeatable, so it
// goes to the other service within the deadline of its class, and is billed once.
test('a repeatable call moves from a hanging service to another', async (t) => {
  const fixture = await createFixture((_, index) => (index === 0 ? 'silent' : undefined));
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const startedMs = fleet.clock.monotonicMs();
  const response = await fleet.clock.runUntil(
    callService(first, serviceCall('g1', { method: 'GET' })),
  );
  t.is(response.status, 200);
  t.true(fleet.clock.monotonicMs() - startedMs < 2_000);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against a read that is ended since all services are silent at once, long before its deadline: none may be
// given up for another one that has given nothing.
test('a repeatable call whose services all pause waits for them', async (t) => {
  const fixture = await createFixture(() => undefined, 3);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  for (const service of fleet.clients.services.values()) service.slowFactor = 300;
  const response = await fleet.clock.runUntil(
    callService(first, serviceCall('g1', { method: 'GET' })),
  );
  t.is(response.status, 200);
  t.true(countRuns(fixture) <= 3, `sent to ${countRuns(fixture)} services`);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 1, settledTokens: 5 });
});

// Guards against new calls that are refused since earlier ones waited in vain while all services paused.
test('calls that come while all services pause are served', async (t) => {
  const fixture = await createFixture(() => undefined, 3);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  for (const service of fleet.clients.services.values()) service.slowFactor = 300;
  const calls: Promise<ServiceResponse>[] = [];
  for (let index = 0; index < 30; index += 1) {
    calls.push(callService(first, serviceCall(`g${index}`, { method: 'GET' })));
    await fleet.clock.advance(50);
  }
  const responses = await fleet.clock.runUntil(Promise.all(calls));
  t.true(responses.every(({ status }) => status === 200));
  t.true(countRuns(fixture) <= 36, `${countRuns(fixture)} runs of 30 calls`);
});

test("a service's own refusal is passed on unchanged when every service refuses", async (t) => {
  const fixture = await createFixture(() => 'busy');
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  const response = await fleet.clock.runUntil(
    callService(first, serviceCall('g1', { method: 'GET' })),
  );
  t.is(response.status, 503);
  t.is(Buffer.from(response.body).toString(), 'busy');
});

// Guards against retries that multiply the load on failing services: all three break every connection,
// and without a limit each of a hundred reads would be sent three times.
test('retries stay a small share of the calls while every call fails', async (t) => {
  const fixture = await createFixture(() => 'answerLost', 3);
  await using fleet = fixture.fleet;
  const [first] = fleet.instances as [LocalInstance];
  for (let count = 0; count < 100; count += 1) {
    const read = serviceCall(`g${count}`, { method: 'GET', budgetId: 'one-2026' as BudgetId });
    await fleet.clock.runUntil(catchRouterError(callService(first, read)));
  }
  const attempts = fixture.upstreams[0]?.serviceCalls ?? 0;
  t.true(attempts >= 100 && attempts <= 130, `${attempts} attempts for 100 calls`);
  t.deepEqual(await readBudgetTotals(t, fixture), { bills: 0, settledTokens: 0 });
});
