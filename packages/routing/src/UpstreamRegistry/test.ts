import test from 'ava';
import {
  ManualClock,
  RouterError,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { InstanceList, type ListedInstance } from '@acaciacrank/store';
import {
  EngineClient,
  type CacheEvent,
  type EngineFrame,
  type LoadReport,
  type ServiceClient,
} from '@acaciacrank/upstreams';
import { UpstreamClients, type Upstream } from '../types.js';
import { UpstreamRegistry, type UpstreamRegistryOptions } from './index.js';

const service = 'tutor' as ServiceName;

class FakeList extends InstanceList {
  listed: ListedInstance[] = [];

  override read(): Promise<readonly ListedInstance[]> {
    return Promise.resolve(this.listed);
  }
}

class FakeEngine extends EngineClient implements AsyncDisposable {
  isDisposed = false;
  isHanging = false;
  report: LoadReport;
  events: CacheEvent[] = [];

  constructor(id: string) {
    super();
    this.report = {
      upstreamId: id as UpstreamId,
      state: 'live',
      runningRequests: 0,
      waitingRequests: 0,
      maxRunningRequests: 10,
      measuredAtMs: 0,
      startedAtMs: 1,
    };
  }

  override generate(): AsyncIterable<EngineFrame> {
    throw new Error('not used');
  }

  override resume(): AsyncIterable<EngineFrame> {
    throw new Error('not used');
  }

  override cancel(): Promise<void> {
    return Promise.resolve();
  }

  override readLoad(): Promise<LoadReport> {
    return this.isHanging ? new Promise(() => undefined) : Promise.resolve(this.report);
  }

  override readCacheEvents(sinceSequence: number): Promise<readonly CacheEvent[]> {
    return Promise.resolve(this.events.filter(({ sequence }) => sequence > sinceSequence));
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    return Promise.resolve();
  }
}

class FakeClients extends UpstreamClients {
  readonly opened: FakeEngine[] = [];

  override engine(entry: ListedInstance): FakeEngine {
    const engine = new FakeEngine(entry.id);
    this.opened.push(engine);
    return engine;
  }

  override service(): ServiceClient {
    throw new Error('not used');
  }
}

function engineAt(id: string, url = `http://127.0.0.1/${id}`): ListedInstance {
  const failureDomain = 'fd1' as FailureDomainId;
  return { id: id as InstanceId, role: 'engine', service, url, failureDomain, state: 'live' };
}

async function startRegistry(ids: string[], options: Partial<UpstreamRegistryOptions> = {}) {
  const clock = new ManualClock();
  const list = new FakeList();
  const clients = new FakeClients();
  list.listed = ids.map((id) => engineAt(id));
  const registry = new UpstreamRegistry({ list, clients, clock, ...options });
  await clock.runUntil(registry.start());
  await clock.advance(1);
  const [first] = registry.candidates(service) as [Upstream];
  const [engine] = clients.opened as [FakeEngine];
  return { clock, list, clients, registry, first, engine };
}

test('requests started since a report was measured are added to it, ended ones subtracted', async (t) => {
  const { clock, registry, first, engine } = await startRegistry(['e1']);
  const earlier = registry.begin(first);
  await clock.advance(1_000);
  engine.report = { ...engine.report, runningRequests: 1, measuredAtMs: clock.wallMs() };
  await clock.advance(200);
  registry.begin(first);
  registry.begin(first);
  // The report arrives 300 ms late and does not include the last two requests.
  await clock.advance(300);
  t.is(first.report?.runningRequests, 1);
  t.is(first.inFlightDelta, 2);
  earlier[Symbol.dispose]();
  t.is(first.inFlightDelta, 1);
});

// Guards against mixing up an engine and its replacement with the same id at another address: streams of
// the old engine continue, new requests go to the new one, and the old client is closed at the end.
test('the same id at another address is a new upstream, and the old client is closed', async (t) => {
  const { clock, list, clients, registry, first, engine } = await startRegistry(['e1']);
  const stream = registry.begin(first);
  list.listed = [engineAt('e1', 'http://127.0.0.2/e1')];
  await clock.advance(1_100);
  const [second] = registry.candidates(service);
  t.not(second, first);
  t.is(second?.engine, clients.opened[1]);
  t.false(engine.isDisposed);
  stream[Symbol.dispose]();
  await clock.advance(1_000);
  t.true(engine.isDisposed);
  t.false(clients.opened[1]?.isDisposed);
});

test('an upstream that is no longer listed receives no new requests and is closed', async (t) => {
  const { clock, list, registry, engine } = await startRegistry(['e1']);
  list.listed = [];
  await clock.advance(2_000);
  t.deepEqual(registry.candidates(service), []);
  t.deepEqual(registry.all(), []);
  t.true(engine.isDisposed);
});

// Guards against a load report that hangs because of a lost connection: without a timeout, the upstream's
// load would never be updated again, and nothing else would reveal the fault.
test('a load report that never arrives does not stop later ones', async (t) => {
  const { clock, first, engine } = await startRegistry(['e1']);
  engine.isHanging = true;
  await clock.advance(1_000);
  engine.isHanging = false;
  engine.report = { ...engine.report, runningRequests: 5, measuredAtMs: clock.wallMs() };
  await clock.advance(3_000);
  t.is(first.report?.runningRequests, 5);
});

test('after a restart, cache events are read from the first sequence number again', async (t) => {
  const seen: number[] = [];
  const { clock, first, engine } = await startRegistry(['e1'], {
    onCacheEvent: (_, { sequence }) => seen.push(sequence),
  });
  engine.events = [{ kind: 'stored', prefixHash: 1, sequence: 5, atMs: 0 }];
  await clock.advance(600);
  engine.report = { ...engine.report, startedAtMs: 2 };
  engine.events = [{ kind: 'stored', prefixHash: 2, sequence: 1, atMs: 0 }];
  await clock.advance(600);
  t.is(first.incarnation, 1);
  t.deepEqual(seen, [5, 1]);
});

/** Simulates one request with the given outcome. */
async function send(
  { clock, registry }: { clock: ManualClock; registry: UpstreamRegistry },
  upstream: Upstream,
  outcome: 'answered' | 'upstreamFailed' | 'upstreamUnavailable',
  elapsedMs = 100,
): Promise<void> {
  using inFlight = registry.begin(upstream, 1);
  await clock.advance(elapsedMs);
  if (outcome === 'answered') inFlight.progress();
  else inFlight.failed(new RouterError(outcome, 'simulated failure'));
}

function candidateIds(registry: UpstreamRegistry): string[] {
  return registry
    .candidates(service)
    .map(({ id }) => id as string)
    .sort();
}

function findUpstream(registry: UpstreamRegistry, id: string): Upstream {
  const found = registry.all().find((upstream) => upstream.id === id);
  if (found === undefined) throw new Error(`upstream ${id} not found`);
  return found;
}

// Guards against repeatedly sending requests to an engine that is leaving: it refuses requests, while the
// list and the load reports lag and still show it as live.
test('an upstream that refuses receives no more requests until it reports that it is live', async (t) => {
  const setup = await startRegistry(['e1', 'e2']);
  const { clock, registry, engine } = setup;
  engine.report = { ...engine.report, measuredAtMs: clock.wallMs() };
  await clock.advance(600);
  await send(setup, findUpstream(registry, 'e1'), 'upstreamUnavailable');
  t.deepEqual(candidateIds(registry), ['e2']);
  await clock.advance(5_000);
  t.deepEqual(candidateIds(registry), ['e2']);
  engine.report = { ...engine.report, measuredAtMs: clock.wallMs() };
  await clock.advance(600);
  t.deepEqual(candidateIds(registry), ['e1', 'e2']);
});

for (const source of ['list', 'report'] as const) {
  test(`an upstream leaving by its ${source} stops receiving requests within 3 s and resumes when live`, async (t) => {
    const { clock, list, registry, engine } = await startRegistry(['e1', 'e2']);
    const setState = (state: 'live' | 'leaving') => {
      if (source === 'list') list.listed = [{ ...engineAt('e1'), state }, engineAt('e2')];
      else engine.report = { ...engine.report, state, measuredAtMs: clock.wallMs() };
    };
    setState('leaving');
    await clock.advance(2_900);
    t.deepEqual(candidateIds(registry), ['e2']);
    setState('live');
    await clock.advance(2_900);
    t.deepEqual(candidateIds(registry), ['e1', 'e2']);
  });
}

// Guards against an engine that answers each request with an error within a millisecond: its reports show
// no load, so a choice by load would send it all requests and every caller would get an error.
test('an upstream that fails fast is ejected although it reports no load', async (t) => {
  const setup = await startRegistry(['e1', 'e2', 'e3']);
  const failing = findUpstream(setup.registry, 'e1');
  for (let count = 0; count < 3; count += 1) await send(setup, failing, 'upstreamFailed', 1);
  t.deepEqual(candidateIds(setup.registry), ['e2', 'e3']);
  t.is(failing.health.reason, 'failing');
});

// Guards against an engine that accepts requests without ever answering while its load reports show no
// load: callers would wait until their deadline. No other request there makes progress either.
test('an upstream that accepts requests and never answers is ejected', async (t) => {
  const setup = await startRegistry(['e1', 'e2', 'e3']);
  const { clock, registry } = setup;
  for (let count = 0; count < 6; count += 1)
    await send(setup, findUpstream(registry, 'e2'), 'answered');
  const unresponsive = findUpstream(registry, 'e1');
  registry.begin(unresponsive, 1);
  registry.begin(unresponsive, 1);
  await clock.advance(1_300);
  t.deepEqual(candidateIds(registry), ['e2', 'e3']);
  t.is(unresponsive.health.reason, 'silent');
});

test('an upstream where any request makes progress is not silent, however long others wait', async (t) => {
  const { clock, registry, first } = await startRegistry(['e1', 'e2', 'e3']);
  registry.begin(first, 1);
  registry.begin(first, 1);
  const stream = registry.begin(first, 1);
  for (let count = 0; count < 50; count += 1) {
    await clock.advance(100);
    stream.progress();
  }
  t.is(first.health.state, 'healthy');
});

test('an upstream whose first tokens take much longer than its peers is ejected', async (t) => {
  const setup = await startRegistry(['e1', 'e2', 'e3', 'e4']);
  for (let count = 0; count < 8; count += 1) {
    for (const id of ['e2', 'e3', 'e4'])
      await send(setup, findUpstream(setup.registry, id), 'answered');
    await send(setup, findUpstream(setup.registry, 'e1'), 'answered', 800);
  }
  await setup.clock.advance(100);
  t.is(findUpstream(setup.registry, 'e1').health.reason, 'slow');
});

// Guards against ejecting all upstreams when something they share fails, for example this instance's
// network: every caller would be refused, and no request would detect the recovery.
test('when all upstreams fail, half of them stay in use', async (t) => {
  const ids = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
  const setup = await startRegistry(ids);
  for (const id of ids) {
    const upstream = findUpstream(setup.registry, id);
    for (let count = 0; count < 5; count += 1) await send(setup, upstream, 'upstreamFailed', 1);
  }
  t.is(candidateIds(setup.registry).length, 3);
});

// Guards against overloading engines right after a restart: three engines restart together, and sending
// all traffic to cold engines would make them fail again.
test('ejected upstreams are probed one at a time by one request each and recover with a small limit', async (t) => {
  const ids = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
  const setup = await startRegistry(ids);
  const { clock, registry } = setup;
  for (const id of ['e1', 'e2', 'e3']) {
    for (let count = 0; count < 3; count += 1) {
      await send(setup, findUpstream(registry, id), 'upstreamFailed', 1);
    }
  }
  await clock.advance(3_200);
  const probing = registry.all().filter(({ health }) => health.state === 'probing');
  t.is(probing.length, 1);
  const [probed] = probing as [Upstream];
  t.true(registry.candidates(service).includes(probed));
  using probe = registry.begin(probed, 1);
  t.false(registry.candidates(service).includes(probed));
  await clock.advance(50);
  probe.progress();
  t.true(registry.candidates(service).includes(probed));
  for (let count = 0; count < 2; count += 1) await send(setup, probed, 'answered');
  await clock.advance(100);
  t.is(probed.health.state, 'healthy');
  t.is(probed.limit.slots, 5);
});

test('an upstream that fails while probing is ejected for twice as long', async (t) => {
  const setup = await startRegistry(['e1', 'e2', 'e3']);
  const { clock, registry } = setup;
  const failing = findUpstream(registry, 'e1');
  for (let count = 0; count < 3; count += 1) await send(setup, failing, 'upstreamFailed', 1);
  await clock.advance(2_200);
  t.is(failing.health.state, 'probing');
  await send(setup, failing, 'upstreamFailed', 1);
  const failedMs = clock.monotonicMs();
  t.is(failing.health.state, 'ejected');
  t.is(failing.health.ejectedUntilMs, failedMs + 4_000);
});

test('in-flight requests at an ejected upstream occupy no slots of the others', async (t) => {
  const setup = await startRegistry(['e1', 'e2', 'e3']);
  const { clock, registry } = setup;
  await clock.advance(600);
  const slotsBefore = registry.slots(service);
  const failing = findUpstream(registry, 'e1');
  registry.begin(failing, 1);
  registry.begin(failing, 1);
  for (let count = 0; count < 3; count += 1) await send(setup, failing, 'upstreamFailed', 1);
  t.is(registry.slots(service), slotsBefore - failing.limit.slots + 2);
});

// Guards against requests to an engine that has requested a backoff, and whose reports continue saying that it is live.
test('an upstream gets no requests in the backoff that it asks for', async (t) => {
  const { clock, registry, first, engine } = await startRegistry(['e1', 'e2']);
  const request = registry.begin(first);
  request.failed(new RouterError('upstreamUnavailable', 'busy', { backoffMs: 3_000 }));
  request[Symbol.dispose]();
  await clock.advance(1_000);
  engine.report = { ...engine.report, measuredAtMs: clock.wallMs() };
  await clock.advance(1_900);
  t.false(registry.candidates(service).includes(first));
  await clock.advance(300);
  t.true(registry.candidates(service).includes(first));
  registry.begin(first)[Symbol.dispose]();
  t.false(
    registry.candidates(service).includes(first),
    'requests follow each other at an interval',
  );
  await clock.advance(1_200);
  t.true(registry.candidates(service).includes(first));
});

// Guards against the last resort: all upstreams of a service that back off are none.
test('a service whose upstreams all back off has no candidates', async (t) => {
  const { clock, registry, first } = await startRegistry(['e1']);
  const request = registry.begin(first);
  request.backOff(1_000);
  request[Symbol.dispose]();
  t.deepEqual(registry.candidates(service), []);
  await clock.advance(1_200);
  t.is(registry.candidates(service).length, 1);
});
