import test from 'ava';
import type { UpstreamId } from '@acaciacrank/base';
import { AimdLimit } from './index.js';

const maxRunningRequests = 16;

function received(requests: number, measuredAtMs: number, receivedAtMs: number, instances = 5) {
  const runningRequests = Math.min(maxRunningRequests, requests);
  const report = {
    upstreamId: 'e1' as UpstreamId,
    state: 'live' as const,
    runningRequests,
    waitingRequests: requests - runningRequests,
    maxRunningRequests,
    measuredAtMs,
  };
  return { report, measuredAtMs, receivedAtMs, instances };
}

/**
 * Simulates instances that share one upstream and receive its load reports late. Each keeps as many
 * requests in flight as it needs and its limit allows.
 *
 * @returns the final limit of each instance
 */
function simulateInstances(demands: readonly number[], lagMs: number): number[] {
  const limits = demands.map(() => new AimdLimit());
  const inFlight = (index: number) =>
    Math.min(demands[index] ?? 0, Math.ceil(limits[index]?.slots ?? 0));
  const history: number[] = [];
  for (let nowMs = 0; nowMs < 120_000; nowMs += 500) {
    history.push(demands.reduce((sum, _, index) => sum + inFlight(index), 0));
    const measuredAtMs = Math.max(0, nowMs - lagMs);
    const requests = history[measuredAtMs / 500] ?? 0;
    for (const [index, limit] of limits.entries()) {
      limit.recordInFlight(inFlight(index));
      limit.applyReport(received(requests, measuredAtMs, nowMs), inFlight(index));
    }
  }
  return limits.map((limit) => limit.slots);
}

for (const lagMs of [500, 2_000]) {
  test(`instances with equal demand get equal limits, with reports ${lagMs} ms late`, (t) => {
    const limits = simulateInstances([50, 50, 50, 50, 50], lagMs);
    const sum = limits.reduce((total, limit) => total + limit, 0);
    t.true(sum > maxRunningRequests * 0.8 && sum < maxRunningRequests * 1.5, `${sum} in all`);
    t.true(Math.max(...limits) < Math.min(...limits) * 1.3, limits.join());
  });

  test(`a single busy instance gets the capacity of idle ones, with reports ${lagMs} ms late`, (t) => {
    const [busy] = simulateInstances([50, 0, 0, 0, 0], lagMs);
    t.true((busy ?? 0) >= maxRunningRequests * 0.8, `${busy ?? 0}`);
  });
}

// Guards against decreasing the limit once per late report: several reports arrive before the last change
// has any effect on them, so callers would be refused although engines are idle.
test('late reports of the same queue decrease the limit once', (t) => {
  const limit = new AimdLimit();
  limit.applyReport(received(0, 0, 500), 0);
  const slotsBefore = limit.slots;
  limit.applyReport(received(30, 1_000, 3_000), 3);
  const slotsAfterDecrease = limit.slots;
  t.true(slotsAfterDecrease < slotsBefore);
  limit.applyReport(received(30, 1_500, 3_500), 3);
  limit.applyReport(received(30, 2_500, 4_500), 3);
  t.is(limit.slots, slotsAfterDecrease);
  limit.applyReport(received(30, 3_500, 5_500), 3);
  t.true(limit.slots < slotsAfterDecrease);
});

test('an unused limit does not increase, and a long queue does not decrease it below the minimum', (t) => {
  const limit = new AimdLimit();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
    limit.applyReport(received(0, nowMs, nowMs), 0);
  }
  t.is(limit.slots, maxRunningRequests / 5);
  for (let nowMs = 20_000; nowMs < 60_000; nowMs += 1_000) {
    limit.applyReport(received(60, nowMs, nowMs), 3);
  }
  t.is(limit.slots, maxRunningRequests / 10);
});
