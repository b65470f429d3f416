import test from 'ava';
import { ManualClock, Metrics, type InstanceId, type UpstreamId } from '@acaciacrank/base';
import {
  createOrderReconciler,
  WeightLoadRateLimiter,
  StoreLease,
  type EngineTarget,
  type OrderReconciler,
  type OrderOutcome,
  type OrderRequest,
} from '@acaciacrank/upstreams';
import { LocalEngineClient } from '../../LocalUpstreamClients/index.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { StandinEngine, type StandinEngineOptions } from '../../StandinEngine/index.js';

const leaseMs = 15_000;
const skewMs = 2_000;
const roundMs = 5_000;

/** An engine client that holds orders back, as a process does that is paused just before it sends. */
class PausingClient extends LocalEngineClient {
  isPaused = false;
  #resume: () => void = () => undefined;

  override async order(request: OrderRequest): Promise<OrderOutcome> {
    if (this.isPaused) {
      await new Promise<void>((resolve) => {
        this.#resume = resolve;
      });
    }
    return super.order(request, new AbortController().signal);
  }

  resumeProcess(): void {
    this.isPaused = false;
    this.#resume();
  }
}

/** An instance that gives orders to the engines while it holds the lease. */
interface Holder {
  readonly reconciler: OrderReconciler;
  readonly lease: StoreLease;
  readonly metrics: Metrics;
  readonly store: MemoryObjectStore;
  readonly clients: PausingClient[];
  version: string;
}

/** Engines, a store, and instances that compete for the lease to give orders. */
class OrderFixture {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly engines: StandinEngine[];
  readonly #checksFencing: boolean;

  constructor(checksFencing: boolean, engines = 1, options: Partial<StandinEngineOptions> = {}) {
    this.#checksFencing = checksFencing;
    const { clock } = this;
    this.engines = Array.from({ length: engines }, (_, index) => {
      const id = `e${index + 1}` as UpstreamId;
      return new StandinEngine({ id, clock, checksFencing, ...options });
    });
  }

  /** Creates an instance whose target is `version` of the model at every engine. */
  holder(name: string, version: string, changes: Partial<EngineTarget> = {}): Holder {
    const { clock } = this;
    const store = new MemoryObjectStore(this.platform, clock);
    const id = name as InstanceId;
    const lease = new StoreLease({
      store,
      clock,
      key: 'orders/tutor',
      holder: id,
      incarnation: '1',
      durationMs: leaseMs,
      maxSkewMs: skewMs,
    });
    const metrics = new Metrics();
    const rateLimiter = new WeightLoadRateLimiter({ clock, loadsPerMinute: 60 });
    const clients = this.engines.map((engine) => new PausingClient(engine));
    const engines = () =>
      clients.map((engine, index) => ({
        id: this.engines[index]?.id ?? ('none' as UpstreamId),
        engine,
        target: {
          models: [{ model: 'small', version: holder.version }],
          adapters: [],
          role: 'both' as const,
          ...changes,
        },
      }));
    const reconciler = createOrderReconciler(this.#checksFencing, {
      clock,
      metrics,
      lease,
      rateLimiter,
      engines,
    });
    const holder: Holder = { reconciler, lease, metrics, store, clients, version };
    return holder;
  }

  /** Runs rounds of the given instances, one after the other, and advances the clock after each. */
  async runRounds(count: number, ...holders: Holder[]): Promise<void> {
    for (let round = 0; round < count; round += 1) {
      for (const { reconciler } of holders) await this.clock.runUntil(reconciler.runRound());
      await this.clock.advance(roundMs);
    }
  }

  engineVersions(): (string | undefined)[] {
    return this.engines.map((engine) => engine.control.state().models[0]?.version);
  }
}

/** Enough rounds for another instance's lease and the clock skew to pass. */
const takeOverRounds = 6;

// Guards against engines that serve an old version again. Version 2 is in force; the previous holder
// was paused just before it sent an order for version 1, and sends it after its lease has expired. An
// engine that checks fencing numbers refuses the old number, and the previous holder stops at once.
test('a checking engine refuses the order of a holder that was paused past its lease', async (t) => {
  const fixture = new OrderFixture(true);
  const previous = fixture.holder('i1', '1');
  const successor = fixture.holder('i2', '2');
  const [client] = previous.clients as [PausingClient];
  await fixture.runRounds(1, previous, successor);
  client.isPaused = true;
  const staleRound = previous.reconciler.runRound();
  await fixture.clock.advance(roundMs);
  await fixture.runRounds(takeOverRounds, successor);
  t.deepEqual(fixture.engineVersions(), ['2']);
  client.resumeProcess();
  await fixture.clock.runUntil(staleRound);
  t.deepEqual(fixture.engineVersions(), ['2']);
  t.is(fixture.engines[0]?.control.refusedOrders.length, 1);
  t.is(previous.lease.fencingNumber, undefined);
});

// As above, with an engine that ignores fencing numbers: the late order takes effect, and requests are
// served by the old version. The next round detects and corrects it; the previous holder gives no more
// orders.
test('a late order to an engine that does not check fencing is corrected in the next round', async (t) => {
  const fixture = new OrderFixture(false);
  const previous = fixture.holder('i1', '1');
  const successor = fixture.holder('i2', '2');
  const [client] = previous.clients as [PausingClient];
  await fixture.runRounds(1, previous, successor);
  client.isPaused = true;
  const staleRound = previous.reconciler.runRound();
  await fixture.clock.advance(roundMs);
  await fixture.runRounds(takeOverRounds, successor);
  client.resumeProcess();
  await fixture.clock.runUntil(staleRound);
  t.deepEqual(fixture.engineVersions(), ['1']);
  await fixture.runRounds(2, successor, previous);
  t.deepEqual(fixture.engineVersions(), ['2']);
  await fixture.runRounds(6, successor, previous);
  t.is(fixture.engines[0]?.control.executedOrders.at(-1)?.order.kind, 'loadModel');
  t.is(fixture.engines[0]?.control.executedOrders.length, 3);
});

// Guards against orders after the lease has expired. A holder was paused between two rounds and resumes
// with orders to give. It checks its lease first, by a clock that ran on during the pause.
test('a holder that resumes after its lease expired gives no order until it holds it again', async (t) => {
  for (const checksFencing of [true, false]) {
    const fixture = new OrderFixture(checksFencing);
    const previous = fixture.holder('i1', '1');
    const successor = fixture.holder('i2', '2');
    await fixture.runRounds(2, previous, successor);
    await fixture.runRounds(takeOverRounds, successor);
    const before = fixture.engines[0]?.control.executedOrders.length;
    await fixture.runRounds(3, previous);
    t.is(fixture.engines[0]?.control.executedOrders.length, before);
    t.deepEqual(fixture.engineVersions(), ['2']);
  }
});

// Guards against two instances that load different versions in turn, which also uses up the rate limit
// of the weight store. They start at the same time, with engines that ignore fencing numbers.
test('of two instances that start together only one gives orders', async (t) => {
  const fixture = new OrderFixture(false);
  const first = fixture.holder('i1', '1');
  const second = fixture.holder('i2', '2');
  for (let round = 0; round < 12; round += 1) {
    const rounds = Promise.all([first.reconciler.runRound(), second.reconciler.runRound()]);
    await fixture.clock.runUntil(rounds);
    const held = [first, second].filter(({ lease }) => lease.remainingMs > 0);
    t.is(held.length, 1);
    await fixture.clock.advance(roundMs);
  }
  t.is(fixture.engines[0]?.control.executedOrders.length, 1);
});

// Guards against a second lease or a second order after a lost response. The store writes the lease and
// an engine executes an order, but both responses are lost. The lease is recognized by its nonce, the
// order by the engine's state.
test('lost responses of the store and of an engine cause no repetition', async (t) => {
  const fixture = new OrderFixture(true);
  const holder = fixture.holder('i1', '1');
  holder.store.link.responsesToLose = 1;
  const control = fixture.engines[0]?.control;
  if (control !== undefined) control.responsesToLose = 1;
  await fixture.runRounds(4, holder);
  t.is(holder.lease.fencingNumber, 4);
  t.is(holder.metrics.counter('ordersFailed'), 1);
  t.is(control?.executedOrders.length, 1);
  t.deepEqual(fixture.engineVersions(), ['1']);
});

// Guards against orders after the lease has expired while the store is unavailable and the lease cannot
// be renewed. With engines that ignore fencing numbers the holder stops earlier, by the time that an
// order may be in transit.
test('without the store a holder stops before its lease expires', async (t) => {
  for (const [checksFencing, expectedStopMs] of [
    [true, leaseMs],
    [false, leaseMs - 4_000],
  ] as const) {
    const fixture = new OrderFixture(checksFencing);
    const holder = fixture.holder('i1', '0');
    await fixture.clock.runUntil(holder.reconciler.runRound());
    holder.store.link.isDown = true;
    let lastOrderMs = 0;
    for (let atMs = 1_000; atMs <= 2 * leaseMs; atMs += 1_000) {
      await fixture.clock.advance(1_000);
      // A new target every second, so that an order is due in each round.
      holder.version = String(atMs);
      await fixture.clock.runUntil(holder.reconciler.runRound());
      if (fixture.engineVersions()[0] === holder.version) lastOrderMs = atMs;
    }
    t.is(lastOrderMs, expectedStopMs - 1_000);
  }
});

// Guards against a second burst of loads, which the weight store would refuse, after the holder
// crashes while twelve engines load a new version. Both holders together keep to the rate limit.
test("loads stay within the weight store's rate, also when the holder changes", async (t) => {
  const fixture = new OrderFixture(true, 12);
  const first = fixture.holder('i1', '1');
  const second = fixture.holder('i2', '1');
  await fixture.runRounds(2, first, second);
  const countLoads = () =>
    fixture.engines.reduce((sum, { control }) => sum + control.executedOrders.length, 0);
  const loadsBefore = countLoads();
  while (second.lease.fencingNumber === undefined) {
    await fixture.clock.advance(roundMs);
    await fixture.clock.runUntil(second.reconciler.runRound());
  }
  // The new holder has waited long enough to accumulate a burst, and does not use it.
  t.is(countLoads(), loadsBefore);
  await fixture.runRounds(8, second);
  t.deepEqual(new Set(fixture.engineVersions()), new Set(['1']));
  const loadTimesMs = fixture.engines
    .flatMap(({ control }) => control.executedOrders.map(({ atMs }) => atMs))
    .sort((a, b) => a - b);
  t.is(loadTimesMs.length, 12);
  for (const fromMs of loadTimesMs) {
    const inWindow = loadTimesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 10_000).length;
    // 60 loads a minute are ten in ten seconds, plus a burst of at most two.
    t.true(inWindow <= 12);
  }
  for (const { control } of fixture.engines) control.rateLimitedForMs = 30_000;
  second.version = '2';
  const startedMs = fixture.clock.monotonicMs();
  await fixture.runRounds(1, second);
  for (const { control } of fixture.engines) control.rateLimitedForMs = undefined;
  await fixture.runRounds(12, second);
  const reloads = fixture.engines.flatMap(({ control }) => control.executedOrders.slice(1));
  t.true(reloads.every(({ atMs }) => atMs - startedMs >= 30_000));
  t.deepEqual(new Set(fixture.engineVersions()), new Set(['2']));
});

// Guards against losing the cache of an engine that leaves, after which other engines must prefill
// every cached conversation from its start. An engine that offers the export is ordered to hand its
// cache over, once; others are not.
test('an engine that leaves hands its cache over once, if it offers the export', async (t) => {
  const kvReceiverId = 'e2' as UpstreamId;
  for (const offersKvExport of [true, false]) {
    const fixture = new OrderFixture(true, 1, { offersKvExport });
    const holder = fixture.holder('i1', '1', { kvReceiverId });
    await fixture.runRounds(3, holder);
    const exported = [{ kind: 'exportKv', receiverId: kvReceiverId }];
    const orders = fixture.engines[0]?.control.executedOrders.map(({ order }) => order);
    t.deepEqual(orders, (offersKvExport ? exported : []) as typeof orders);
  }
});

// Guards against engines that get no orders for the length of a lease after a planned stop of the holder.
test('a holder that stops lets the next one give orders at once, if engines check fencing', async (t) => {
  const fixture = new OrderFixture(true);
  const first = fixture.holder('i1', '1');
  const second = fixture.holder('i2', '2');
  await fixture.runRounds(1, first, second);
  await fixture.clock.runUntil(first.reconciler[Symbol.asyncDispose]());
  await fixture.runRounds(2, second);
  t.deepEqual(fixture.engineVersions(), ['2']);
});
