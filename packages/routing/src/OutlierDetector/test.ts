import test from 'ava';
import {
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { AimdLimit } from '../AimdLimit/index.js';
import { OverloadBackoff } from '../OverloadBackoff/index.js';
import { UpstreamHealth } from '../UpstreamHealth/index.js';
import type { Upstream } from '../types.js';
import { OutlierDetector } from './index.js';

function createUpstream(id: string): Upstream {
  return {
    id: id as UpstreamId,
    service: 'lm' as ServiceName,
    failureDomain: 'a' as FailureDomainId,
    engine: undefined,
    plain: undefined,
    inFlightRequests: 0,
    inFlightDelta: 0,
    lagCorrection: 0,
    report: undefined,
    state: 'live',
    incarnation: 0,
    isSuspect: false,
    limit: new AimdLimit(),
    health: new UpstreamHealth(),
    backoff: new OverloadBackoff(new ManualClock()),
  };
}

/** Upstreams of which the first ones have had two requests each without a first token since time 0. */
function createUpstreams(count: number, silent: number): Upstream[] {
  const upstreams = Array.from({ length: count }, (_, index) => createUpstream(`u${index}`));
  for (const [index, { health }] of upstreams.entries()) {
    health.begin({ startedMs: 0, averageFirstTokenMs: 100 });
    health.begin({ startedMs: 0, averageFirstTokenMs: 100 });
    if (index >= silent) health.recordProgress(2_900);
  }
  return upstreams;
}

function ejectedOf(upstreams: readonly Upstream[]): string[] {
  return upstreams.filter(({ health }) => health.state === 'ejected').map(({ id }) => id);
}

test('one silent upstream among others is ejected', (t) => {
  const upstreams = createUpstreams(4, 1);
  new OutlierDetector().evaluate(upstreams, 3_000);
  t.deepEqual(ejectedOf(upstreams), ['u0']);
});

// Guards against upstreams that are left out since all of them were silent at once, which says nothing of any one.
test('no upstream is ejected for silence while most of them are silent', (t) => {
  const upstreams = createUpstreams(4, 4);
  new OutlierDetector().evaluate(upstreams, 3_000);
  t.deepEqual(ejectedOf(upstreams), []);
});

// Guards against silent upstreams that stay in use since others have just nothing to say.
test('two silent upstreams are ejected while others make progress now and then', (t) => {
  const upstreams = createUpstreams(5, 2);
  for (const { health } of upstreams.slice(2)) health.recordProgress(1_000);
  new OutlierDetector().evaluate(upstreams, 3_000);
  t.deepEqual(ejectedOf(upstreams), ['u0', 'u1']);
});
