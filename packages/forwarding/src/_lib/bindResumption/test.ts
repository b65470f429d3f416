import test from 'ava';
import { ManualClock, Metrics, type ServiceName } from '@acaciacrank/base';
import { RouteTable } from '../../RouteTable/index.js';
import type { StreamAffinity } from '../../StreamAffinity/index.js';
import type { ForwardConfiguration, RequestHead, Route } from '../../types.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import { RequestTrace } from '../RequestTrace/index.js';
import { bindResumption } from './index.js';

const service = 'lm' as ServiceName;
const route: Route = {
  name: 'chat',
  host: 'shop.example',
  pathPrefix: '/chat/',
  kind: 'stream',
  targets: [{ service, weight: 1 }],
  maxUpstreams: 2,
  timeoutMs: 15_000,
  targetLatencyMs: 400,
  gapTargetMs: 300,
  priority: 0,
  isResumable: true,
  isPublic: true,
};
const traits = { name: service, maxConnections: 10, engine: undefined };

function createTable(routes: readonly Route[], nowMs: number, previous?: RouteTable): RouteTable {
  const configuration = { version: nowMs, routes, services: [traits], accounts: undefined };
  return new RouteTable(configuration as unknown as ForwardConfiguration, nowMs, previous);
}

function createCall(clock: ManualClock, head: Partial<RequestHead>): ForwardCall {
  const call = {
    head: { resumeAfter: '3', resumedAttempt: undefined, ...head },
    route,
    service: traits,
    request: { headers: {} },
    relayedBy: undefined,
    account: undefined,
    trace: new RequestTrace(clock),
    progress: {},
  };
  return call as unknown as ForwardCall;
}

const affinity = { find: () => Promise.resolve(undefined) } as unknown as StreamAffinity;

async function bind(routes: RouteTable, clock: ManualClock, head: Partial<RequestHead> = {}) {
  const upstreams = { soleVersion: () => 'v1' };
  const options = { clock, affinity, upstreams, metrics: new Metrics(), routes };
  const bound = await bindResumption(createCall(clock, head), options);
  return bound.progress.origin?.softwareVersion;
}

// Guards against callers that are refused for want of a name although one version has ever served.
test('a stream taken up without a name goes on at the one version of its service', async (t) => {
  const clock = new ManualClock();
  const table = createTable([route], clock.monotonicMs());
  await t.throwsAsync(bind(table, clock));
  await clock.advance(20_000);
  t.is(await bind(table, clock), 'v1');
});

// Guards against a name that nobody knows, which may stand for a stream of a version that is not in sight.
test('a name that nobody knows is refused all the same', async (t) => {
  const clock = new ManualClock();
  const table = createTable([route], clock.monotonicMs());
  await clock.advance(20_000);
  await t.throwsAsync(bind(table, clock, { resumedAttempt: 'lost' }));
});

// Guards against a stream that continues at the service to which its route has moved meanwhile.
test('a route that has moved proves nothing until streams from before have ended', async (t) => {
  const clock = new ManualClock();
  const elsewhere = { ...route, targets: [{ service: 'other' as ServiceName, weight: 1 }] };
  const before = createTable([elsewhere], clock.monotonicMs());
  await clock.advance(30_000);
  const moved = createTable([route], clock.monotonicMs(), before);
  const unchanged = createTable([route], clock.monotonicMs() + 1, moved);
  await t.throwsAsync(bind(unchanged, clock));
  await clock.advance(20_000);
  t.is(await bind(unchanged, clock), 'v1');
});
