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

test('what was sent since a report was measured is added to it, what ended is taken off', async (t) => {
  const { clock, registry, first, engine } = await startRegistry(['e1']);
  const earlier = registry.begin(first);
  await clock.advance(1_000);
  engine.report = { ...engine.report, runningRequests: 1, measuredAtMs: clock.wallMs() };
  await clock.advance(200);
  registry.begin(first);
  registry.begin(first);
  // The report arrives 300 ms late and cannot have counted the last two.
  await clock.advance(300);
  t.is(first.report?.runningRequests, 1);
  t.is(first.sentSinceReport, 2);
  earlier[Symbol.dispose]();
  t.is(first.sentSinceReport, 1);
});

// An engine is replaced and comes back under the same id at another address. Callers of streams on
// the old one see them end in peace; new work goes to the new one; the old client is closed.
test('the same id at another address is another upstream, and the old client is closed', async (t) => {
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

test('an upstream that is no longer listed takes no new work and is closed', async (t) => {
  const { clock, list, registry, engine } = await startRegistry(['e1']);
  list.listed = [];
  await clock.advance(2_000);
  t.deepEqual(registry.candidates(service), []);
  t.deepEqual(registry.all(), []);
  t.true(engine.isDisposed);
});

// A load report hangs for good because something on the way lost the connection. Without a bound
// its upstream's load would stay as it was for ever, while everything else looks well.
test('a load report that never comes does not stop the reading of later ones', async (t) => {
  const { clock, first, engine } = await startRegistry(['e1']);
  engine.isHanging = true;
  await clock.advance(1_000);
  engine.isHanging = false;
  engine.report = { ...engine.report, runningRequests: 5, measuredAtMs: clock.wallMs() };
  await clock.advance(3_000);
  t.is(first.report?.runningRequests, 5);
});

test('cache events of a former life are not taken for this one', async (t) => {
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

/** Sends one request and tells how it fared. */
async function send(
  { clock, registry }: { clock: ManualClock; registry: UpstreamRegistry },
  upstream: Upstream,
  outcome: 'answered' | 'upstreamFailed' | 'upstreamUnavailable',
  tookMs = 100,
): Promise<void> {
  using use = registry.begin(upstream, 1);
  await clock.advance(tookMs);
  if (outcome === 'answered') use.progress();
  else use.failed(new RouterError(outcome, 'as the test wants'));
}

function idsOf(registry: UpstreamRegistry): string[] {
  return registry
    .candidates(service)
    .map(({ id }) => id as string)
    .sort();
}

function named(registry: UpstreamRegistry, id: string): Upstream {
  const found = registry.all().find((upstream) => upstream.id === id);
  if (found === undefined) throw new Error(`there is no ${id}`);
  return found;
}

// An engine is told to leave. List and load reports lag and still call it live, but it refuses. A
// caller must not be sent there over and over until the list has caught up.
test('an upstream that refuses gets no more work until it reports that it is live', async (t) => {
  const world = await startRegistry(['e1', 'e2']);
  const { clock, registry, engine } = world;
  engine.report = { ...engine.report, measuredAtMs: clock.wallMs() };
  await clock.advance(600);
  await send(world, named(registry, 'e1'), 'upstreamUnavailable');
  t.deepEqual(idsOf(registry), ['e2']);
  await clock.advance(5_000);
  t.deepEqual(idsOf(registry), ['e2']);
  engine.report = { ...engine.report, measuredAtMs: clock.wallMs() };
  await clock.advance(600);
  t.deepEqual(idsOf(registry), ['e1', 'e2']);
});

for (const source of ['list', 'report'] as const) {
  test(`an upstream that leaves by its ${source} gets no work within 3 s, and is used again when it is back`, async (t) => {
    const { clock, list, registry, engine } = await startRegistry(['e1', 'e2']);
    const tell = (state: 'live' | 'leaving') => {
      if (source === 'list') list.listed = [{ ...engineAt('e1'), state }, engineAt('e2')];
      else engine.report = { ...engine.report, state, measuredAtMs: clock.wallMs() };
    };
    tell('leaving');
    await clock.advance(2_900);
    t.deepEqual(idsOf(registry), ['e2']);
    tell('live');
    await clock.advance(2_900);
    t.deepEqual(idsOf(registry), ['e1', 'e2']);
  });
}

// An engine answers each request with an error within a millisecond. It has nothing to do, so its
// reports show no load, and a choice by load sends it all: every caller would see an error.
test('an upstream whose errors come fast is ejected, however idle it looks', async (t) => {
  const world = await startRegistry(['e1', 'e2', 'e3']);
  const bad = named(world.registry, 'e1');
  for (let count = 0; count < 3; count += 1) await send(world, bad, 'upstreamFailed', 1);
  t.deepEqual(idsOf(world.registry), ['e2', 'e3']);
  t.is(bad.health.reason, 'failing');
});

// An engine accepts requests and never answers, while its load reports go on and show it idle.
// Callers would wait for their whole deadline; other requests' tokens prove nothing, for none come.
test('an upstream that accepts and never answers is ejected', async (t) => {
  const world = await startRegistry(['e1', 'e2', 'e3']);
  const { clock, registry } = world;
  for (let count = 0; count < 6; count += 1) await send(world, named(registry, 'e2'), 'answered');
  const mute = named(registry, 'e1');
  registry.begin(mute, 1);
  registry.begin(mute, 1);
  await clock.advance(1_300);
  t.deepEqual(idsOf(registry), ['e2', 'e3']);
  t.is(mute.health.reason, 'silent');
});

test('an upstream with a sign of life is not silent, however long one request waits there', async (t) => {
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
  const world = await startRegistry(['e1', 'e2', 'e3', 'e4']);
  for (let count = 0; count < 8; count += 1) {
    for (const id of ['e2', 'e3', 'e4']) await send(world, named(world.registry, id), 'answered');
    await send(world, named(world.registry, 'e1'), 'answered', 800);
  }
  await world.clock.advance(100);
  t.is(named(world.registry, 'e1').health.reason, 'slow');
});

// Something that all upstreams share breaks, for example the network of this instance. Ejecting
// them all would refuse every caller and could never learn that it is over.
test('when all upstreams fail, half of them stay in use', async (t) => {
  const ids = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
  const world = await startRegistry(ids);
  for (const id of ids) {
    const upstream = named(world.registry, id);
    for (let count = 0; count < 5; count += 1) await send(world, upstream, 'upstreamFailed', 1);
  }
  t.is(idsOf(world.registry).length, 3);
});

// Three engines restart together. When they are back, the first requests tell whether they are
// well; a rush of all traffic on cold engines would bring them down again.
test('ejected upstreams are tried one at a time, one request each, and come back small', async (t) => {
  const ids = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
  const world = await startRegistry(ids);
  const { clock, registry } = world;
  for (const id of ['e1', 'e2', 'e3']) {
    for (let count = 0; count < 3; count += 1) {
      await send(world, named(registry, id), 'upstreamFailed', 1);
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
  for (let count = 0; count < 2; count += 1) await send(world, probed, 'answered');
  await clock.advance(100);
  t.is(probed.health.state, 'healthy');
  t.is(probed.limit.places, 5);
});

test('an upstream that fails when it is tried again stays out twice as long', async (t) => {
  const world = await startRegistry(['e1', 'e2', 'e3']);
  const { clock, registry } = world;
  const bad = named(registry, 'e1');
  for (let count = 0; count < 3; count += 1) await send(world, bad, 'upstreamFailed', 1);
  await clock.advance(2_200);
  t.is(bad.health.state, 'probing');
  await send(world, bad, 'upstreamFailed', 1);
  const failedMs = clock.monotonicMs();
  t.is(bad.health.state, 'ejected');
  t.is(bad.health.ejectedUntilMs, failedMs + 4_000);
});

test('what goes on at an ejected upstream takes no place from the others', async (t) => {
  const world = await startRegistry(['e1', 'e2', 'e3']);
  const { clock, registry } = world;
  await clock.advance(600);
  const beforePlaces = registry.places(service);
  const bad = named(registry, 'e1');
  registry.begin(bad, 1);
  registry.begin(bad, 1);
  for (let count = 0; count < 3; count += 1) await send(world, bad, 'upstreamFailed', 1);
  t.is(registry.places(service), beforePlaces - bad.limit.places + 2);
});
