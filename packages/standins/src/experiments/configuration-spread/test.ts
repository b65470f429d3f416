import test from 'ava';
import { run } from './index.js';

const inForceWithinMs = 10_000;

// A change such as a revoked key or a new budget must be in force on every reachable instance within
// 10 s, whichever of the store watch, the store, its caches or the links has a fault. No instance may
// go back to an earlier version.
test('a change is in force on all reachable instances within 10 s in each faulty case', async (t) => {
  const rows = await run({ seed: 1, flags: {} });
  t.is(rows.length, 11);
  for (const { case: name, everywhereMs, lowerVersions } of rows) {
    t.true(
      typeof everywhereMs === 'number' && everywhereMs < inForceWithinMs,
      `${String(name)}: ${String(everywhereMs)}`,
    );
    t.is(lowerVersions, 0, String(name));
  }
});
