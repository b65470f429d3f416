import { Metrics, type InstanceId, type UpstreamId } from '@acaciacrank/base';
import {
  createOrderReconciler,
  WeightLoadRateLimiter,
  StoreLease,
  type OrderReconciler,
} from '@acaciacrank/upstreams';
import { LocalEngineClient } from '../../../LocalUpstreamClients/index.js';
import { StandinEngine } from '../../../StandinEngine/index.js';
import type { StoryContext } from '../../StoryContext/index.js';
import { FaultInjectingClock, FaultInjectingEngine } from '../../wrapInstance/index.js';

/** How long both reconcilers run, in milliseconds; longer than a process pause plus a lease. */
const runMs = 300_000;

/**
 * Two order reconcilers, of which only the holder of a lease acts, target different model versions on one engine.
 *
 * The holder may lose the lease to the other reconciler at any step. The engine checks fencing numbers,
 * so it must never execute an order with a lower number than before.
 *
 * @param context - the fleet and the callers of the story
 *
 * @example
 * await engineOrder(context);
 */
export async function engineOrder(context: StoryContext): Promise<void> {
  const engine = new StandinEngine({
    id: 'ordered' as UpstreamId,
    clock: context.fleet.clock,
    checksFencing: context.isFencingChecked,
  });
  const reconcilers = [createReconciler(context, engine, 'reconciler-a', '1')];
  await context.fleet.clock.sleep(1_000);
  reconcilers.push(createReconciler(context, engine, 'reconciler-b', '2'));
  await context.fleet.clock.sleep(runMs);
  checkFencingNumbers(context, engine);
  for (const reconciler of reconcilers) void reconciler[Symbol.asyncDispose]();
}

function createReconciler(
  context: StoryContext,
  engine: StandinEngine,
  name: string,
  version: string,
): OrderReconciler {
  const clock = new FaultInjectingClock(context.injector, name, context.fleet.clock);
  const lease = new StoreLease({
    store: context.operatorStore(name),
    clock,
    key: 'orders/tutor',
    holder: name as InstanceId,
    incarnation: '1',
  });
  const client = new FaultInjectingEngine(context.injector, name, new LocalEngineClient(engine));
  const target = { models: [{ model: 'small', version }], adapters: [], role: 'both' as const };
  const reconciler = createOrderReconciler(true, {
    clock,
    metrics: new Metrics(),
    lease,
    rateLimiter: new WeightLoadRateLimiter({ clock, loadsPerMinute: 600 }),
    engines: () => [{ id: engine.id, engine: client, target }],
  });
  reconciler.start();
  return reconciler;
}

/** Checks that the engine executed at least one order and that fencing numbers never decreased. */
function checkFencingNumbers(context: StoryContext, engine: StandinEngine): void {
  const fencingNumbers = engine.control.executedOrders.map(({ fencingNumber }) => fencingNumber);
  const hasDecreased = fencingNumbers.some(
    (number, index) => number < (fencingNumbers[index - 1] ?? 0),
  );
  if (fencingNumbers.length > 0 && !hasDecreased) return;
  context.violations.push({
    invariant: 'ordersNeverGoBack',
    what: fencingNumbers.join(', ') || 'no order',
  });
}
