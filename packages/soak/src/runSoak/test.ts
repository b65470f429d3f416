import test from 'ava';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type {
  FaultKind,
  InjectedDefect,
  InvariantName,
  SoakOptions,
  SoakReport,
} from '../types.js';
import { runSoak } from './index.js';

function optionsFor(name: string, changes: Partial<SoakOptions> = {}): SoakOptions {
  const directory = join(tmpdir(), `acaciacrank-soak-${process.pid}`, name);
  const base = { seed: 1, durationMs: 8_000, instances: 2, requestsPerSecond: 40, directory };
  return { ...base, ...changes };
}

// Real instances serve callers while processes and connections fail. No fault may cause a violation of
// an invariant.
test.serial('a short soak violates no invariant', async (t) => {
  const report = await runSoak(optionsFor('sound', { durationMs: 12_000 }));
  t.deepEqual(report.violations, []);
  t.true(report.served > 0);
});

// The platform sends a second stop signal during the graceful shutdown of an instance. The second signal
// used to end the process at once and cut off all its active requests (seed 218, 0.25 minutes).
test.serial('a second stop signal does not interrupt the graceful shutdown', async (t) => {
  const stop = { kind: 'stop', durationMs: 8_500, target: 0 } as const;
  const faults = [
    { ...stop, atMs: 1_500 },
    { ...stop, atMs: 2_300 },
  ];
  const report = await runSoak(optionsFor('twice', { faults, requestsPerSecond: 120 }));
  t.deepEqual(report.violations, []);
});

// Guards against a directory that keeps listing an instance that lost power.
test.serial('directories stop listing an instance that lost power', async (t) => {
  const faults = [{ kind: 'powerOff', atMs: 2_000, durationMs: 9_500, target: 0 }] as const;
  const changes = { faults, instances: 3, durationMs: 11_500 };
  const report = await runSoak(optionsFor('powerOff', changes));
  t.deepEqual(report.violations, []);
});

// Guards against a directory that drops an instance because it cannot write heartbeats to the store,
// although it serves requests and its peers reach it.
test.serial('directories keep listing an instance that cannot connect to the store', async (t) => {
  const faults = [{ kind: 'storeTurnsAway', atMs: 2_000, durationMs: 17_500, target: 0 }] as const;
  const changes = { faults, instances: 3, durationMs: 19_500 };
  const report = await runSoak(optionsFor('turnedAway', changes));
  t.deepEqual(report.violations, []);
});

// Guards against instances that ignore the rate limit of an upstream, and against a restarted instance
// that does not know the limit.
test.serial('upstreams receive no more requests than their rate limit allows', async (t) => {
  const limit = { kind: 'limitUpstream', durationMs: 20_000 } as const;
  const faults = [
    { ...limit, atMs: 1_000, target: 32 },
    { ...limit, atMs: 1_200, target: 5 },
    { ...limit, atMs: 1_400, target: 6 },
    { kind: 'kill', atMs: 8_000, durationMs: 0, target: 1 },
    { kind: 'powerOff', atMs: 10_000, durationMs: 2_500, target: 2 },
    { ...limit, atMs: 14_000, durationMs: 4_000, target: 13 },
    { ...limit, atMs: 14_200, target: 16 },
  ] as const;
  const changes = { faults, instances: 4, durationMs: 20_000, requestsPerSecond: 120 };
  const report = await runSoak(optionsFor('limits', changes));
  t.deepEqual(report.violations, []);
  t.true(report.served > 0.5 * report.requests);
});

// Guards against instances that stood still and send requests on whose callers have left meanwhile.
test.serial('callers that leave while instances pause cost no late send', async (t) => {
  const pause = { kind: 'pause', durationMs: 1_300 } as const;
  const faults = [
    { ...pause, atMs: 1_500, target: 0 },
    { ...pause, atMs: 2_000, target: 1 },
    { ...pause, atMs: 5_000, target: 2 },
    { kind: 'cutFromUpstreams', atMs: 8_000, durationMs: 3_000, target: 1 },
    { ...pause, atMs: 9_000, target: 1 },
    { ...pause, atMs: 13_500, target: 0, durationMs: 700 },
    { ...pause, atMs: 14_300, target: 0, durationMs: 700 },
  ] as const;
  const changes = { faults, instances: 3, durationMs: 16_000, requestsPerSecond: 160 };
  const report = await runSoak(optionsFor('departures', changes));
  t.deepEqual(report.violations, []);
  // Those who are answered sooner do not leave.
  t.true(report.left > 30, `${report.left} callers left`);
});

// Guards against limits, draining upstreams and versions that are forgotten with what the store lost.
test.serial('a store that comes back from older copies violates no invariant', async (t) => {
  const restore = { kind: 'storeRestored', durationMs: 800 } as const;
  const faults = [
    { kind: 'leaveUpstream', atMs: 2_000, durationMs: 6_000, target: 0 },
    { kind: 'changeConfiguration', atMs: 2_500, durationMs: 0, target: 0 },
    { ...restore, atMs: 4_000, target: 3_000 },
    { kind: 'kill', atMs: 9_000, durationMs: 0, target: 1 },
    { ...restore, atMs: 9_500, target: 6_000 },
  ] as const;
  const changes = { faults, instances: 3, durationMs: 16_000 };
  const report = await runSoak(optionsFor('restored', changes));
  t.deepEqual(report.violations, []);
  t.is(report.faults['storeRestored'], 2);
});

// Guards against instances that use an upstream which has said that it leaves, while the store reports nothing.
test.serial('upstreams that say in responses that they leave get no new requests', async (t) => {
  const leave = { kind: 'leaveUpstream', durationMs: 6_000 } as const;
  const faults = [
    { kind: 'storeAway', atMs: 1_000, durationMs: 12_000, target: 0 },
    { ...leave, atMs: 2_000, target: 0 },
    { ...leave, atMs: 2_500, target: 5 },
    { kind: 'kill', atMs: 6_000, durationMs: 0, target: 1 },
  ] as const;
  const changes = { faults, instances: 3, durationMs: 12_000, requestsPerSecond: 120 };
  const report = await runSoak(optionsFor('statedLeaving', changes));
  t.deepEqual(report.violations, []);
});

// Guards against instances that keep sending to an upstream which has requested a backoff of them.
test.serial('overloaded upstreams get no requests in the backoff that they ask for', async (t) => {
  const overload = { kind: 'overloadUpstream', durationMs: 6_000 } as const;
  const faults = [
    { ...overload, atMs: 1_500, target: 0 },
    { ...overload, atMs: 2_000, target: 5 },
    { kind: 'storeAway', atMs: 3_000, durationMs: 3_000, target: 0 },
    { kind: 'kill', atMs: 4_500, durationMs: 0, target: 1 },
    { ...overload, atMs: 8_500, durationMs: 2_500, target: 6 },
  ] as const;
  const changes = { faults, instances: 3, durationMs: 12_000, requestsPerSecond: 120 };
  const report = await runSoak(optionsFor('statedBackoff', changes));
  t.deepEqual(report.violations, []);
  t.true(report.served > 0.5 * report.requests);
});

// Guards against a caller's request that ends one upstream after another, whoever repeats it where.
test.serial('a deadly request ends at most three upstreams', async (t) => {
  const deadly = { kind: 'deadlyRequest', durationMs: 0 } as const;
  const faults = [0, 3, 1, 4].map((target, index) => {
    return { ...deadly, atMs: 1_500 + 4_000 * index, target };
  });
  const changes = { faults, instances: 4, durationMs: 18_000, requestsPerSecond: 160 };
  const report = await runSoak(optionsFor('deadly', changes));
  t.deepEqual(report.violations, []);
});

// Guards against a part of prompts that ends one upstream after another, since no two requests with it are alike.
test.serial('a deadly part of prompts ends a bounded number of upstreams', async (t) => {
  const deadly = { kind: 'deadlyPart', durationMs: 8_000 } as const;
  const faults = [0, 1].map((target) => ({ ...deadly, atMs: 1_500 + 9_000 * target, target }));
  const changes = { faults, instances: 4, durationMs: 19_000, requestsPerSecond: 160 };
  const report = await runSoak(optionsFor('deadlyPart', changes));
  t.deepEqual(report.violations, []);
});

// Guards against an instance that does not know what is blamed: started again, leaving, or having stood still.
test.serial('a deadly part is known to instances that start, leave or pause', async (t) => {
  const faults = [
    { kind: 'deadlyPart', atMs: 1_500, durationMs: 16_000, target: 1 },
    { kind: 'pause', atMs: 1_450, durationMs: 1_800, target: 0 },
    { kind: 'stop', atMs: 1_550, durationMs: 8_500, target: 1 },
    { kind: 'kill', atMs: 5_000, durationMs: 0, target: 2 },
    { kind: 'kill', atMs: 8_000, durationMs: 0, target: 3 },
    { kind: 'powerOff', atMs: 11_000, durationMs: 1_500, target: 0 },
  ] as const;
  const changes = { faults, instances: 4, durationMs: 18_500, requestsPerSecond: 160 };
  const report = await runSoak(optionsFor('deadlyPartStarts', changes));
  t.deepEqual(report.violations, []);
});

// Guards against requests that are refused as deadly since they were at upstreams that ended for other reasons.
test.serial('upstreams that crash one after another convict no request', async (t) => {
  const crash = { kind: 'crashUpstream', durationMs: 0 } as const;
  const crashes = Array.from({ length: 16 }, (_, index) => {
    return { ...crash, atMs: 1_500 + 1_000 * index, target: 3 * index };
  });
  const deadly = { kind: 'deadlyRequest', atMs: 6_200, durationMs: 0, target: 3 } as const;
  const changes = {
    faults: [...crashes, deadly].sort((a, b) => a.atMs - b.atMs),
    instances: 4,
    durationMs: 18_500,
  };
  const report = await runSoak(optionsFor('crashes', { ...changes, requestsPerSecond: 160 }));
  t.deepEqual(report.violations, []);
  t.true(report.failed < 0.02 * report.requests, `${report.failed} of ${report.requests} failed`);
});

// Guards against load that continues to upstreams without room: each that falls over moves its load to the next.
test.serial('upstreams that say that they are brittle do not fall over', async (t) => {
  const faults = [{ kind: 'brittleService', atMs: 2_000, durationMs: 12_000, target: 0 }] as const;
  const changes = { faults, instances: 4, durationMs: 15_000, requestsPerSecond: 300 };
  const report = await runSoak(optionsFor('brittle', changes));
  t.deepEqual(report.violations, []);
});

// Guards against answers of sound upstreams that an instance ends because nothing came from these for a second, and
// against 502 for requests that arrive meanwhile; beside a changed configuration, a stop and a pause of an instance.
test.serial('streams of upstreams that pause and go on are whole', async (t) => {
  const pause = { kind: 'pauseUpstreams', durationMs: 1_300 } as const;
  const faults = [
    { kind: 'changeConfiguration', atMs: 1_900, durationMs: 0, target: 0 },
    { ...pause, atMs: 2_000, target: 0 },
    { kind: 'stop', atMs: 2_300, durationMs: 8_500, target: 0 },
    { kind: 'pause', atMs: 2_600, durationMs: 1_500, target: 1 },
    { ...pause, atMs: 6_000, durationMs: 2_200, target: 2 },
  ] as const;
  const changes = { faults, instances: 3, durationMs: 9_500, requestsPerSecond: 120 };
  const report = await runSoak(optionsFor('paused', changes));
  t.deepEqual(report.violations, []);
  t.is(report.faults['pauseUpstreams'], 2);
});

// Guards against streams that continue at another version than the one that began them, at other instances too.
test.serial('streams stay at the software version that began them', async (t) => {
  const mix = { kind: 'mixVersions', durationMs: 8_000, target: 0 } as const;
  const faults = [{ ...mix, atMs: 2_000 }] as const;
  const changes = { faults, instances: 4, durationMs: 11_000 };
  const report = await runSoak(optionsFor('versions', changes));
  t.deepEqual(report.violations, []);
  t.true(report.takenUp > 50 && report.wentOn >= 0.95 * report.takenUp, describeTakenUp(report));
});

// Guards against streams that are lost with the instance that began them, while two engines of their version serve.
test.serial('streams go on when instances are killed in a roll', async (t) => {
  const mix = { kind: 'mixVersions', durationMs: 10_000, target: 0 } as const;
  const kill = { kind: 'kill', durationMs: 0 } as const;
  const faults = [
    { ...mix, atMs: 2_000 },
    ...[3, 5, 7, 9].map((atS, target) => ({ ...kill, atMs: 1_000 * atS, target })),
  ] as const;
  const changes = { faults, instances: 4, durationMs: 13_000 };
  const report = await runSoak(optionsFor('versionsKilled', changes));
  t.deepEqual(report.violations, []);
  t.true(report.takenUp > 50 && report.wentOn >= 0.9 * report.takenUp, describeTakenUp(report));
});

function describeTakenUp({ takenUp, wentOn }: SoakReport): string {
  return `${wentOn} of ${takenUp} streams taken up went on`;
}

/** A cut of one, two or all instances from the upstreams, and what it looks like. */
const cuts = [
  ['one instance, connections hang', 0],
  ['one instance, connections are refused', 1],
  ['one instance, only new connections hang', 2],
  ['two instances, connections hang', 3],
  ['two instances, connections are refused', 4],
  ['all instances, connections hang', 6],
  ['all instances, connections are refused', 7],
] as const;

// Guards against instances that take their own cut from the upstreams for the failure of these.
for (const [name, target] of cuts) {
  test.serial(`an instance that reaches no upstream serves its callers: ${name}`, async (t) => {
    const faults = [{ kind: 'cutFromUpstreams', atMs: 2_000, durationMs: 8_000, target }] as const;
    const changes = { faults, instances: 4, durationMs: 12_000, requestsPerSecond: 160 };
    const report = await runSoak(optionsFor(`cut-${target}`, changes));
    t.deepEqual(report.violations, []);
  });
}

/** Options for a run with a single fault, for defects in how the system handles that fault. */
function singleFault(kind: FaultKind, durationMs = 0): Partial<SoakOptions> {
  return { faults: [{ kind, atMs: 2_000, durationMs, target: 0 }] };
}

/** Each injected defect, the invariant whose check must detect it, and the options that it needs. */
const defects: readonly (readonly [InjectedDefect, InvariantName, Partial<SoakOptions>])[] = [
  ['runTwice', 'atMostOnce', { faults: [] }],
  ['refuseAfterRun', 'trueRefusal', { faults: [] }],
  ['cutAnswer', 'wholeAnswer', { faults: [] }],
  ['raiseLimit', 'prepaid', { faults: [] }],
  ['repeatArrivals', 'retryBudget', { faults: [] }],
  ['holdConfiguration', 'configuration', singleFault('changeConfiguration')],
  ['holdLeaving', 'leavingUpstream', singleFault('leaveUpstream')],
  ['hideLimit', 'upstreamLimit', singleFault('limitUpstream', 6_000)],
  ['hideLeaving', 'statedLeaving', singleFault('leaveUpstream')],
  ['hideBackoff', 'statedBackoff', singleFault('overloadUpstream', 6_000)],
  ['varyPart', 'deadlyPart', singleFault('deadlyPart', 5_000)],
  ['varyDeadly', 'queryOfDeath', singleFault('deadlyRequest')],
  [
    'hideBrittle',
    'brittleUpstream',
    { ...singleFault('brittleService', 7_000), requestsPerSecond: 300 },
  ],
  ['hideVersion', 'softwareVersion', singleFault('mixVersions', 5_000)],
  ['cutPaused', 'soundAnswer', { ...singleFault('pauseUpstreams', 1_300), durationMs: 4_000 }],
  ['killForStop', 'plannedStop', singleFault('stop')],
  ['nameGone', 'goneInstance', { ...singleFault('powerOff', 9_000), durationMs: 10_500 }],
  ['hideLive', 'liveInstance', { faults: [] }],
  ['sendLate', 'departedCaller', { ...singleFault('pause', 300), durationMs: 4_000 }],
  ['abortProcess', 'machineLimits', singleFault('floodInstance', 1_000)],
  ['refuseAll', 'served', { faults: [] }],
];

// Guards against checks that cannot fail: each invariant is violated by an injected defect that the checks
// do not know of, and the violation must be detected within a short run.
for (const [injectedDefect, invariant, defectOptions] of defects) {
  test.serial(`the check of ${invariant} detects the defect ${injectedDefect}`, async (t) => {
    const changes = { requestsPerSecond: 120, ...defectOptions, injectedDefect };
    const report = await runSoak(optionsFor(injectedDefect, changes));
    const violated = new Set(report.violations.map((violation) => violation.promise));
    t.true(violated.has(invariant), `violated: ${[...violated].join(', ')}`);
  });
}
