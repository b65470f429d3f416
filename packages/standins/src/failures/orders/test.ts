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

/** A client whose orders wait, as those of a process that is paused just before it sends. */
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

interface Holder {
  readonly keeper: OrderReconciler;
  readonly lease: StoreLease;
  readonly metrics: Metrics;
  readonly store: MemoryObjectStore;
  readonly clients: PausingClient[];
  version: string;
}

class Rig {
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

  /** One instance that wants every engine to hold `version` of the model. */
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
    const rate = new WeightLoadRateLimiter({ clock, loadsPerMinute: 60 });
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
    const keeper = createOrderReconciler(this.#checksFencing, {
      clock,
      metrics,
      lease,
      rate,
      engines,
    });
    const holder: Holder = { keeper, lease, metrics, store, clients, version };
    return holder;
  }

  /** Runs rounds of the given instances, one after the other, as time passes. */
  async rounds(count: number, ...holders: Holder[]): Promise<void> {
    for (let round = 0; round < count; round += 1) {
      for (const { keeper } of holders) await this.clock.runUntil(keeper.runRound());
      await this.clock.advance(roundMs);
    }
  }

  versions(): (string | undefined)[] {
    return this.engines.map((engine) => engine.control.state().models[0]?.version);
  }
}

/** Enough rounds to wait out another instance's lease and skew. */
const takeOverRounds = 6;

// Operators put version 2 in force. The old holder was paused just before it sent an order for
// version 1, woke after its lease had passed, and sent it: engines would serve the old version again.
// An engine that checks refuses the old number, and the old holder stops at once.
test('a checking engine refuses the order of a holder that was paused past its lease', async (t) => {
  const rig = new Rig(true);
  const old = rig.holder('i1', '1');
  const next = rig.holder('i2', '2');
  const [client] = old.clients as [PausingClient];
  await rig.rounds(1, old, next);
  client.isPaused = true;
  const stale = old.keeper.runRound();
  await rig.clock.advance(roundMs);
  await rig.rounds(takeOverRounds, next);
  t.deepEqual(rig.versions(), ['2']);
  client.resumeProcess();
  await rig.clock.runUntil(stale);
  t.deepEqual(rig.versions(), ['2']);
  t.is(rig.engines[0]?.control.refused.length, 1);
  t.is(old.lease.fencingNumber, undefined);
});

// The same, with an engine that ignores the number: the late order takes effect, and trainees are
// answered by the old version. The next round sees it and puts it right; the old holder gives no more.
test('what a paused holder does to an ignoring engine is put right in the next round', async (t) => {
  const rig = new Rig(false);
  const old = rig.holder('i1', '1');
  const next = rig.holder('i2', '2');
  const [client] = old.clients as [PausingClient];
  await rig.rounds(1, old, next);
  client.isPaused = true;
  const stale = old.keeper.runRound();
  await rig.clock.advance(roundMs);
  await rig.rounds(takeOverRounds, next);
  client.resumeProcess();
  await rig.clock.runUntil(stale);
  t.deepEqual(rig.versions(), ['1']);
  await rig.rounds(2, next, old);
  t.deepEqual(rig.versions(), ['2']);
  await rig.rounds(6, next, old);
  t.is(rig.engines[0]?.control.acted.at(-1)?.order.kind, 'loadModel');
  t.is(rig.engines[0]?.control.acted.length, 3);
});

// A holder that was paused between two rounds wakes with orders to give. It looks at its lease first,
// by a clock that the pause did not stop, and gives none.
test('a holder that wakes after its lease gives no order before it holds it again', async (t) => {
  for (const checksFencing of [true, false]) {
    const rig = new Rig(checksFencing);
    const old = rig.holder('i1', '1');
    const next = rig.holder('i2', '2');
    await rig.rounds(2, old, next);
    await rig.rounds(takeOverRounds, next);
    const before = rig.engines[0]?.control.acted.length;
    await rig.rounds(3, old);
    t.is(rig.engines[0]?.control.acted.length, before);
    t.deepEqual(rig.versions(), ['2']);
  }
});

// Two instances start at the same moment, each for its own version. Engines that ignore the number
// would be loaded to and fro, and the weight store's rate used up.
test('of two instances that start together one gives orders', async (t) => {
  const rig = new Rig(false);
  const one = rig.holder('i1', '1');
  const two = rig.holder('i2', '2');
  for (let round = 0; round < 12; round += 1) {
    const both = Promise.all([one.keeper.runRound(), two.keeper.runRound()]);
    await rig.clock.runUntil(both);
    const held = [one, two].filter(({ lease }) => lease.remainingMs > 0);
    t.is(held.length, 1);
    await rig.clock.advance(roundMs);
  }
  t.is(rig.engines[0]?.control.acted.length, 1);
});

// The store takes the lease's write but its answer is lost; then an engine takes an order but its
// answer is lost. Neither is done twice: the lease is known by its nonce, the order by what is held.
test('lost answers of the store and of an engine repeat nothing', async (t) => {
  const rig = new Rig(true);
  const holder = rig.holder('i1', '1');
  holder.store.link.answersToLose = 1;
  const control = rig.engines[0]?.control;
  if (control !== undefined) control.answersToLose = 1;
  await rig.rounds(4, holder);
  t.is(holder.lease.fencingNumber, 4);
  t.is(holder.metrics.counter('ordersFailed'), 1);
  t.is(control?.acted.length, 1);
  t.deepEqual(rig.versions(), ['1']);
});

// The store is away. The holder cannot renew its lease and must not order past its end; for engines
// that ignore the number it stops earlier, by the time that an order may still be under way.
test('without the store a holder stops before its lease ends', async (t) => {
  for (const [checksFencing, stopsMs] of [
    [true, leaseMs],
    [false, leaseMs - 4_000],
  ] as const) {
    const rig = new Rig(checksFencing);
    const holder = rig.holder('i1', '0');
    await rig.clock.runUntil(holder.keeper.runRound());
    holder.store.link.isDown = true;
    let lastOrderMs = 0;
    for (let atMs = 1_000; atMs <= 2 * leaseMs; atMs += 1_000) {
      await rig.clock.advance(1_000);
      // A new target in each second: whatever may be ordered is.
      holder.version = String(atMs);
      await rig.clock.runUntil(holder.keeper.runRound());
      if (rig.versions()[0] === holder.version) lastOrderMs = atMs;
    }
    t.is(lastOrderMs, stopsMs - 1_000);
  }
});

// A new version goes to twelve engines at once, and the holder dies in the middle. The weight store
// would refuse a second burst; its rate holds over both holders.
test("loads stay within the weight store's rate, also when the holder changes", async (t) => {
  const rig = new Rig(true, 12);
  const one = rig.holder('i1', '1');
  const two = rig.holder('i2', '1');
  await rig.rounds(2, one, two);
  const loads = () => rig.engines.reduce((sum, { control }) => sum + control.acted.length, 0);
  const loadsBefore = loads();
  while (two.lease.fencingNumber === undefined) {
    await rig.clock.advance(roundMs);
    await rig.clock.runUntil(two.keeper.runRound());
  }
  // The new holder has waited long enough to save up a burst, and does not use it.
  t.is(loads(), loadsBefore);
  await rig.rounds(8, two);
  t.deepEqual(new Set(rig.versions()), new Set(['1']));
  const times = rig.engines
    .flatMap(({ control }) => control.acted.map(({ atMs }) => atMs))
    .sort((a, b) => a - b);
  t.is(times.length, 12);
  for (const fromMs of times) {
    const inMinute = times.filter((atMs) => atMs >= fromMs && atMs < fromMs + 10_000).length;
    // 60 loads a minute are ten in ten seconds; besides them at most the burst of two.
    t.true(inMinute <= 12);
  }
  for (const { control } of rig.engines) control.rateLimitedForMs = 30_000;
  two.version = '2';
  const startedMs = rig.clock.monotonicMs();
  await rig.rounds(1, two);
  for (const { control } of rig.engines) control.rateLimitedForMs = undefined;
  await rig.rounds(12, two);
  const again = rig.engines.flatMap(({ control }) => control.acted.slice(1));
  t.true(again.every(({ atMs }) => atMs - startedMs >= 30_000));
  t.deepEqual(new Set(rig.versions()), new Set(['2']));
});

// An engine leaves, and every conversation that it had cached is read again from its beginning
// elsewhere. Where the engine offers it, its cache is handed over, once; others are not asked.
test('an engine that leaves hands its cache over once, where it offers to', async (t) => {
  const kvReceiverId = 'e2' as UpstreamId;
  for (const offersKvExport of [true, false]) {
    const rig = new Rig(true, 1, { offersKvExport });
    const holder = rig.holder('i1', '1', { kvReceiverId });
    await rig.rounds(3, holder);
    const exported = [{ kind: 'exportKv', receiverId: kvReceiverId }];
    const orders = rig.engines[0]?.control.acted.map(({ order }) => order);
    t.deepEqual(orders, (offersKvExport ? exported : []) as typeof orders);
  }
});

// A planned stop of the holder must not leave engines without orders for the length of a lease.
test('a holder that stops lets the next one order at once, where engines check', async (t) => {
  const rig = new Rig(true);
  const one = rig.holder('i1', '1');
  const two = rig.holder('i2', '2');
  await rig.rounds(1, one, two);
  await rig.clock.runUntil(one.keeper[Symbol.asyncDispose]());
  await rig.rounds(2, two);
  t.deepEqual(rig.versions(), ['2']);
});
