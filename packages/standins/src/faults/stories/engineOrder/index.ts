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
import { GatedClock, GatedEngine } from '../../wrapInstance/index.js';

/** How long both keepers run, in milliseconds; longer than any pause and a lease after it. */
const runMs = 300_000;

/**
 * Two instances keep one engine under a lease, each wanting another version of the model.
 *
 * The one that holds the lease may lose it to the other at any step. The engine checks fencing
 * numbers, so it must never act on a lower one than before.
 *
 * @param context - who acts, and what is left to be checked
 *
 * @example
 * await engineOrder(context);
 */
export async function engineOrder(context: StoryContext): Promise<void> {
  const engine = new StandinEngine({
    id: 'ordered' as UpstreamId,
    clock: context.fleet.clock,
    checksFencing: context.areNumbersChecked,
  });
  const keepers = [createKeeper(context, engine, 'keeper-a', '1')];
  await context.fleet.clock.sleep(1_000);
  keepers.push(createKeeper(context, engine, 'keeper-b', '2'));
  await context.fleet.clock.sleep(runMs);
  checkNumbers(context, engine);
  for (const keeper of keepers) void keeper[Symbol.asyncDispose]();
}

function createKeeper(
  context: StoryContext,
  engine: StandinEngine,
  name: string,
  version: string,
): OrderReconciler {
  const clock = new GatedClock(context.gate, name, context.fleet.clock);
  const lease = new StoreLease({
    store: context.operatorStore(name),
    clock,
    key: 'orders/tutor',
    holder: name as InstanceId,
    incarnation: '1',
  });
  const client = new GatedEngine(context.gate, name, new LocalEngineClient(engine));
  const target = { models: [{ model: 'small', version }], adapters: [], role: 'both' as const };
  const keeper = createOrderReconciler(true, {
    clock,
    metrics: new Metrics(),
    lease,
    rate: new WeightLoadRateLimiter({ clock, loadsPerMinute: 600 }),
    engines: () => [{ id: engine.id, engine: client, target }],
  });
  keeper.start();
  return keeper;
}

/** The engine acted at least once, and on numbers that never fell. */
function checkNumbers(context: StoryContext, engine: StandinEngine): void {
  const numbers = engine.control.acted.map(({ fencingNumber }) => fencingNumber);
  const falls = numbers.some((number, index) => number < (numbers[index - 1] ?? 0));
  if (numbers.length > 0 && !falls) return;
  context.violations.push({
    invariant: 'ordersNeverGoBack',
    what: numbers.join(', ') || 'no order',
  });
}
