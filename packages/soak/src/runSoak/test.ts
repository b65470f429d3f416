import test from 'ava';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { DeliberateBreak, FaultKind, PromiseName, SoakOptions } from '../types.js';
import { runSoak } from './index.js';

function optionsFor(name: string, changes: Partial<SoakOptions> = {}): SoakOptions {
  const directory = join(tmpdir(), `acaciacrank-soak-${process.pid}`, name);
  const base = { seed: 1, durationMs: 8_000, instances: 2, requestsPerSecond: 40, directory };
  return { ...base, ...changes };
}

// Real instances serve callers while processes and connections fail around them. Whatever fails, no
// promise may be broken.
test.serial('a short soak keeps every promise', async (t) => {
  const report = await runSoak(optionsFor('sound', { durationMs: 12_000 }));
  t.deepEqual(report.violations, []);
  t.true(report.served > 0);
});

// The platform asks an instance to stop a second time while its planned stop is under way. The second
// signal ended the process at once, with all requests that it served (seed 218, 0.25 minutes).
test.serial('an instance that is asked to stop twice still stops by plan', async (t) => {
  const stop = { kind: 'stop', forMs: 8_500, target: 0 } as const;
  const faults = [
    { ...stop, atMs: 1_500 },
    { ...stop, atMs: 2_300 },
  ];
  const report = await runSoak(optionsFor('twice', { faults, requestsPerSecond: 120 }));
  t.deepEqual(report.violations, []);
});

// Guards against a directory that goes on naming an instance whose power is gone.
test.serial('an instance that lost power is soon named no more', async (t) => {
  const faults = [{ kind: 'powerOff', atMs: 2_000, forMs: 9_500, target: 0 }] as const;
  const changes = { faults, instances: 3, durationMs: 11_500 };
  const report = await runSoak(optionsFor('powerOff', changes));
  t.deepEqual(report.violations, []);
});

// Guards against a directory that drops an instance since it cannot write heartbeats, though it
// serves and its peers reach it.
test.serial('an instance that the store turns away stays named', async (t) => {
  const faults = [{ kind: 'storeTurnsAway', atMs: 2_000, forMs: 17_500, target: 0 }] as const;
  const changes = { faults, instances: 3, durationMs: 19_500 };
  const report = await runSoak(optionsFor('turnedAway', changes));
  t.deepEqual(report.violations, []);
});

// Guards against instances that ignore the rate limit of an upstream, and against one that restarts and
// does not know the limit.
test.serial('upstreams that name a limit get no more than that', async (t) => {
  const limit = { kind: 'limitUpstream', forMs: 20_000 } as const;
  const faults = [
    { ...limit, atMs: 1_000, target: 32 },
    { ...limit, atMs: 1_200, target: 5 },
    { ...limit, atMs: 1_400, target: 6 },
    { kind: 'kill', atMs: 8_000, forMs: 0, target: 1 },
    { kind: 'powerOff', atMs: 10_000, forMs: 2_500, target: 2 },
    { ...limit, atMs: 14_000, forMs: 4_000, target: 13 },
    { ...limit, atMs: 14_200, target: 16 },
  ] as const;
  const changes = { faults, instances: 4, durationMs: 20_000, requestsPerSecond: 120 };
  const report = await runSoak(optionsFor('limits', changes));
  t.deepEqual(report.violations, []);
  t.true(report.served > 0.5 * report.requests);
});

/** One planned fault in calm surroundings, for breaks of what happens then. */
function only(kind: FaultKind, forMs = 0): Partial<SoakOptions> {
  return { faults: [{ kind, atMs: 2_000, forMs, target: 0 }] };
}

/** Each deliberate break, the promise whose check has to find it, and the faults that it needs. */
const breaks: readonly (readonly [DeliberateBreak, PromiseName, Partial<SoakOptions>])[] = [
  ['runTwice', 'atMostOnce', { faults: [] }],
  ['refuseAfterRun', 'trueRefusal', { faults: [] }],
  ['cutAnswer', 'wholeAnswer', { faults: [] }],
  ['raiseLimit', 'prepaid', { faults: [] }],
  ['repeatArrivals', 'retryBudget', { faults: [] }],
  ['holdConfiguration', 'configuration', only('changeConfiguration')],
  ['holdLeaving', 'leavingUpstream', only('leaveUpstream')],
  ['hideLimit', 'upstreamLimit', only('limitUpstream', 6_000)],
  ['killForStop', 'plannedStop', only('stop')],
  ['nameGone', 'goneInstance', { ...only('powerOff', 9_000), durationMs: 10_500 }],
  ['hideLive', 'liveInstance', { faults: [] }],
  ['refuseAll', 'served', { faults: [] }],
];

// A check that cannot fail proves nothing: each promise is broken on purpose, without a word to the
// checks, and has to be found within a short run.
for (const [deliberateBreak, promise, faults] of breaks) {
  test.serial(`the check of ${promise} finds ${deliberateBreak}`, async (t) => {
    const changes = { ...faults, deliberateBreak, requestsPerSecond: 120 };
    const report = await runSoak(optionsFor(deliberateBreak, changes));
    const found = new Set(report.violations.map((violation) => violation.promise));
    t.true(found.has(promise), `found ${[...found].join(', ')}`);
  });
}
