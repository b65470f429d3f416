import test from 'ava';
import {
  ManualClock,
  type FailureDomainId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { Upstream, type Reading } from './index.js';

const reading: Reading = { expectedMs: 100, promptTokens: 9_000, newTokens: 3_000, isHeld: true };

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
  return { clock, upstream: new Upstream(record, clock) };
}

test('prompts that are not read yet are the backlog', async (t) => {
  const { clock, upstream } = create();
  t.is(upstream.backlogMs, 0);
  const first = upstream.begin(reading);
  upstream.begin(reading);
  upstream.begin(undefined);
  t.is(upstream.backlogMs, 200);
  await clock.advance(100);
  upstream.hear(first, true);
  t.is(upstream.backlogMs, 100);
});

// Another instance has sent a long prompt to the engine. This one sees nothing of it but that its own
// prompt does not begin; it went on sending there, while other engines had nothing to read.
test('a prompt that is overdue counts as a queue of others', async (t) => {
  const { clock, upstream } = create();
  const send = upstream.begin(reading);
  await clock.advance(600);
  t.is(upstream.backlogMs, 600);
  upstream.hear(send, true);
  t.true(upstream.backlogMs > 200);
  await clock.advance(3_000);
  t.true(upstream.backlogMs < 10);
});
