import test from 'ava';
import {
  createRandom,
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import type { Upstream } from '../types.js';
import { EvenShareLimit } from '../EvenShareLimit/index.js';
import { OverloadBackoff } from '../OverloadBackoff/index.js';
import { UpstreamHealth } from '../UpstreamHealth/index.js';
import { PrefixAffinity } from './index.js';

function upstream(id: string, runningRequests = 0): Upstream {
  return {
    id: id as UpstreamId,
    service: 'tutor' as ServiceName,
    failureDomain: 'fd1' as FailureDomainId,
    engine: undefined,
    plain: undefined,
    inFlightRequests: 0,
    inFlightDelta: 0,
    lagCorrection: 0,
    report: {
      upstreamId: id as UpstreamId,
      state: 'live',
      runningRequests,
      waitingRequests: 0,
      maxRunningRequests: 10,
      measuredAtMs: 0,
    },
    state: 'live',
    incarnation: 0,
    isSuspect: false,
    backoff: new OverloadBackoff(new ManualClock()),
    limit: new EvenShareLimit(),
    health: new UpstreamHealth(),
  };
}

const context = (seed: number, prefixHash: number | undefined = 7) => ({
  random: createRandom(seed),
  prefixHash,
});
const createUpstreams = () => Array.from({ length: 12 }, (_, index) => upstream(`e${index}`));
const seeds = Array.from({ length: 50 }, (_, index) => index);

test('a prefix stays at its upstream until the load there is clearly higher', (t) => {
  const selector = new PrefixAffinity();
  const upstreams = createUpstreams();
  const holder = selector.choose(upstreams, context(1));
  if (holder === undefined) throw new Error('no upstream chosen');
  holder.inFlightDelta = 1;
  t.true(seeds.every((seed) => selector.choose(upstreams, context(seed)) === holder));
  holder.inFlightDelta = 2;
  t.not(selector.choose(upstreams, context(2)), holder);
});

// Guards against prefix affinity to an engine that has restarted under the same id: its cache is empty,
// so callers would see slow first tokens.
test('a restarted upstream is no longer preferred for its earlier prefixes', (t) => {
  const selector = new PrefixAffinity();
  const upstreams = createUpstreams();
  const holder = selector.choose(upstreams, context(1));
  if (holder === undefined) throw new Error('no upstream chosen');
  holder.incarnation += 1;
  holder.inFlightDelta = 1;
  t.not(selector.choose(upstreams, context(2)), holder);
});

test('a cache event removes an evicted prefix and does not add an unknown one', (t) => {
  const selector = new PrefixAffinity();
  const upstreams = createUpstreams();
  const holder = selector.choose(upstreams, context(1));
  if (holder === undefined) throw new Error('no upstream chosen');
  holder.inFlightDelta = 1;
  selector.handleCacheEvent(holder, { kind: 'evicted', prefixHash: 7, sequence: 1, atMs: 0 });
  t.not(selector.choose(upstreams, context(2)), holder);
  selector.handleCacheEvent(holder, { kind: 'stored', prefixHash: 8, sequence: 2, atMs: 0 });
  t.not(selector.choose(upstreams, context(2, 8)), holder);
});

// Guards against an engine that accepts requests without ever answering: its report shows no load, so a
// choice by reports alone would send it everything. In-flight requests of this instance count as load.
test('an upstream that reports no load while requests accumulate there is not preferred', (t) => {
  const selector = new PrefixAffinity({ sampleSize: 12 });
  const upstreams = createUpstreams().map((other) => ({ ...other, inFlightDelta: 3 }));
  const unresponsive = { ...upstream('mute'), inFlightRequests: 9 };
  t.true(
    seeds.every(
      (seed) => selector.choose([unresponsive, ...upstreams], context(seed)) !== unresponsive,
    ),
  );
});

test('returns undefined without candidates', (t) => {
  t.is(new PrefixAffinity().choose([], context(1)), undefined);
});
