import test from 'ava';
import { ManualClock, type ServiceName, type UpstreamId } from '@acaciacrank/base';
import { SuspectRequests } from './index.js';

const service = 'app' as ServiceName;
const guilty = { digest: 'guilty', service };
const innocent = { digest: 'innocent', service };
const candidates = ['u4', 'u5'] as UpstreamId[];

function endOf(id: string, atMs = 0) {
  return { upstreamId: id as UpstreamId, atMs };
}

function createSuspects(maxRequests = 100) {
  const clock = new ManualClock();
  return { clock, suspects: new SuspectRequests({ clock, maxRequests }) };
}

function tryAttempt(suspects: SuspectRequests, attempt: string, request = guilty): string {
  return suspects.requestAttempt({ ...request, attempt, candidates }).verdict;
}

test('a request under which nothing ended is clear', (t) => {
  const { suspects } = createSuspects();
  t.is(tryAttempt(suspects, 'one/1'), 'clear');
  t.true(suspects.isEmpty);
});

// Guards against a request that ends upstreams by being sent to several at once.
test('attempts under way count as ends to come', (t) => {
  const { suspects } = createSuspects();
  suspects.recordEnd(guilty, endOf('u1'));
  t.is(tryAttempt(suspects, 'one/1'), 'granted');
  t.is(tryAttempt(suspects, 'two/1'), 'granted');
  t.is(tryAttempt(suspects, 'three/1'), 'busy');
  suspects.recordEnd(guilty, endOf('u2', 5_000));
  suspects.finishAttempt('one/1', false);
  t.is(tryAttempt(suspects, 'three/1'), 'busy');
  suspects.recordEnd(guilty, endOf('u3', 6_000));
  suspects.finishAttempt('two/1', false);
  t.is(tryAttempt(suspects, 'three/1'), 'quarantined');
});

// Guards against counting one end as often as instances report it, and against missing the end of the next run.
test('reports about one end count once, and those about a later run again', (t) => {
  const { suspects } = createSuspects();
  t.true(suspects.recordEnd(guilty, endOf('u1', 100)));
  t.false(suspects.recordEnd(guilty, endOf('u1', 130)));
  t.true(suspects.recordEnd(guilty, endOf('u1', 2_000)));
  t.is(suspects.ends(guilty.digest).length, 2);
});

// Guards against missing the end of an upstream that starts again at once, and ends again.
test('an end of an attempt that was granted later than the last end is another one', async (t) => {
  const { suspects, clock } = createSuspects();
  suspects.recordEnd(guilty, endOf('u1'));
  suspects.recordEnd(guilty, endOf('u4', 10));
  await clock.advance(50);
  t.is(tryAttempt(suspects, 'one/1'), 'granted');
  t.true(suspects.recordEnd(guilty, endOf('u4', 90)));
  t.is(tryAttempt(suspects, 'one/2'), 'quarantined');
});

// Guards against refusing a request that many callers send, since it was at upstreams that ended for other reasons.
test('successes take back ends, also for those who report them later', (t) => {
  const { suspects } = createSuspects();
  suspects.recordEnd(innocent, endOf('u1', 0));
  suspects.recordEnd(innocent, endOf('u2', 3_000));
  for (const attempt of ['one/1', 'one/2']) {
    t.is(tryAttempt(suspects, attempt, innocent), 'granted');
    suspects.finishAttempt(attempt, true);
  }
  t.false(suspects.recordEnd(innocent, endOf('u2', 3_020)));
  t.is(tryAttempt(suspects, 'one/3', innocent), 'clear');
});

// Guards against taking what ran beside a deadly request along to the next upstream that it ends.
test('after two ends a suspect runs apart from other suspects', (t) => {
  const { suspects } = createSuspects();
  for (const id of ['u1', 'u2']) {
    suspects.recordEnd(guilty, endOf(id));
    suspects.recordEnd(innocent, endOf(id));
  }
  const first = suspects.requestAttempt({ ...guilty, attempt: 'one/1', candidates });
  const second = suspects.requestAttempt({ ...innocent, attempt: 'two/1', candidates });
  t.deepEqual(first, { verdict: 'granted', upstreamId: 'u4' as UpstreamId });
  t.deepEqual(second, { verdict: 'granted', upstreamId: 'u5' as UpstreamId });
  const third = { digest: 'third', service };
  suspects.recordEnd(third, endOf('u1'));
  t.is(tryAttempt(suspects, 'three/1', third), 'busy');
});

// Guards against requests that stay in quarantine for what another one has done.
test('a conviction lets those that ran beside it be tried once more', (t) => {
  const { suspects } = createSuspects();
  for (const id of ['u1', 'u2']) {
    suspects.recordEnd(innocent, endOf(id));
    suspects.recordEnd(guilty, endOf(id));
  }
  t.is(tryAttempt(suspects, 'one/1'), 'granted');
  suspects.recordEnd(innocent, endOf('u4', 500));
  t.is(tryAttempt(suspects, 'two/1', innocent), 'quarantined');
  suspects.recordEnd(guilty, endOf('u4', 510));
  t.true(suspects.isConvicted(guilty.digest));
  t.is(tryAttempt(suspects, 'one/2'), 'quarantined');
  t.false(suspects.recordEnd(innocent, endOf('u4', 520)));
  suspects.finishAttempt('one/1', false);
  t.is(tryAttempt(suspects, 'two/2', innocent), 'granted');
  suspects.finishAttempt('two/2', true);
  t.is(suspects.ends(innocent.digest).length, 1);
});

// Guards against a guilty request that goes free since another one was convicted for a crash of its upstream.
test('a wrong conviction clears no other request', (t) => {
  const { suspects } = createSuspects();
  for (const id of ['u1', 'u2']) {
    suspects.recordEnd(innocent, endOf(id));
    suspects.recordEnd(guilty, endOf(id));
  }
  t.is(tryAttempt(suspects, 'two/1', innocent), 'granted');
  suspects.recordEnd(innocent, endOf('u4', 500));
  t.true(suspects.isConvicted(innocent.digest));
  t.is(suspects.ends(guilty.digest).length, 2);
  suspects.finishAttempt('two/1', false);
  t.is(tryAttempt(suspects, 'one/1'), 'granted');
  suspects.recordEnd(guilty, endOf('u4', 5_000));
  t.is(tryAttempt(suspects, 'one/2'), 'quarantined');
});

// Guards against a suspect that nobody may send any more, since the instance that was sending it has died.
test('an attempt without a result counts for a bounded time', async (t) => {
  const { suspects, clock } = createSuspects();
  suspects.recordEnd(guilty, endOf('u1'));
  suspects.recordEnd(guilty, endOf('u2'));
  t.is(tryAttempt(suspects, 'one/1'), 'granted');
  await clock.advance(19_000);
  t.is(tryAttempt(suspects, 'two/1'), 'busy');
  await clock.advance(1_000);
  t.is(tryAttempt(suspects, 'two/1'), 'granted');
});

// Guards against memory that grows with upstreams that end, and against forgetting what is in quarantine first.
test('the oldest suspects are discarded before requests in quarantine', async (t) => {
  const { suspects, clock } = createSuspects(3);
  const digests = () => suspects.withEnds(1).map(({ digest }) => digest);
  for (const id of ['u1', 'u2', 'u3']) suspects.recordEnd(guilty, endOf(id));
  for (const other of ['a', 'b', 'c', 'd']) {
    suspects.recordEnd({ digest: other, service }, endOf('u4'));
  }
  t.is(tryAttempt(suspects, 'one/1'), 'quarantined');
  t.deepEqual(digests().sort(), ['c', 'd', 'guilty']);
  await clock.advance(3_600_000);
  suspects.recordEnd({ digest: 'later', service }, endOf('u5'));
  t.deepEqual(digests(), ['later']);
});
