import test from 'ava';
import {
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { Upstream, type PrefillEstimate } from './index.js';

const prefill: PrefillEstimate = {
  expectedMs: 100,
  promptTokens: 9_000,
  newTokens: 3_000,
  isSharedCached: true,
};

function create() {
  const clock = new ManualClock();
  const record = {
    id: 'e1' as UpstreamId,
    service: 'engines' as ServiceName,
    ip: '127.0.0.1',
    port: 1,
    failureDomain: 'a' as FailureDomainId,
    slots: 4,
    state: 'live',
  } as const;
  return { clock, upstream: new Upstream(record, { clock }) };
}

test('prompts without a first event count as backlog', async (t) => {
  const { clock, upstream } = create();
  t.is(upstream.backlogMs, 0);
  const first = upstream.begin(prefill);
  upstream.begin(prefill);
  upstream.begin(undefined);
  t.is(upstream.backlogMs, 200);
  await clock.advance(100);
  upstream.recordReceived(first, true);
  t.is(upstream.backlogMs, 100);
});

// Another instance has sent a long prompt to the engine. This instance notices only that its own
// prompt does not start, and without the estimate it kept sending there while other engines were
// idle.
test('an overdue prompt is attributed to a queue of other instances', async (t) => {
  const { clock, upstream } = create();
  const inFlightRequest = upstream.begin(prefill);
  await clock.advance(600);
  t.is(upstream.backlogMs, 600);
  upstream.recordReceived(inFlightRequest, true);
  t.true(upstream.backlogMs > 200);
  await clock.advance(3_000);
  t.true(upstream.backlogMs < 10);
});

// Guards against an instance that stood still, and leaves all of its upstreams out for it.
test('time in which the process stood still makes no upstream unresponsive', async (t) => {
  const { clock, upstream } = create();
  upstream.begin(undefined);
  await clock.advance(600);
  clock.pause(1_500);
  t.false(upstream.isEjected(clock.monotonicMs()));
  t.is(upstream.activity.longestWaitMs, 600);
  await clock.advance(400);
  t.true(upstream.isEjected(clock.monotonicMs()));
});
