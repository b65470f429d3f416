import test from 'ava';
import { createRandom, ManualClock, type InstanceId } from '@acaciacrank/base';
import { RateShare } from './index.js';

const windowMs = 4_000;
const ids = ['a', 'b', 'c', 'd'] as InstanceId[];

function createShares(count = ids.length) {
  const clock = new ManualClock();
  const views = new Map(ids.map((id) => [id, ids.slice(0, count)]));
  const shares = ids
    .slice(0, count)
    .map(
      (instanceId) =>
        new RateShare({ clock, instanceId, key: 'u1', sharers: () => views.get(instanceId) ?? [] }),
    );
  return { clock, views, shares };
}

// Guards against each instance applying the whole limit. The load on each is ten times the limit, up to
// 100 requests per second.
test('all instances combined stay within the limit under overload', async (t) => {
  for (const limit of [0.5, 1, 1.5, 4, 30]) {
    const { clock, shares } = createShares();
    const random = createRandom(1);
    const sent: number[] = [];
    for (const share of shares) share.limit = limit;
    for (let step = 0; step < 4_000; step += 1) {
      await clock.advance(10);
      const nowMs = clock.monotonicMs();
      for (const share of shares) {
        if (random() > 0.1 * limit || share.waitMs > 0) continue;
        share.take();
        sent.push(nowMs);
      }
      const recent = sent.filter((atMs) => atMs > nowMs - windowMs).length;
      t.true(recent <= (limit * windowMs) / 1_000 + Math.max(1, limit) + 1);
    }
    t.true(sent.length >= 0.9 * limit * 40, `${sent.length} of ${limit} a second in 40 s`);
  }
});

// Guards against two instances using the same share while they disagree about who shares the limit.
test('a lost share ends at once and a gained share starts after a delay', async (t) => {
  const { clock, views, shares } = createShares(2);
  for (const share of shares) share.limit = 1;
  await clock.advance(2_000);
  const [holder, other] = shares[0]?.waitMs === 0 ? shares : [...shares].reverse();
  const [holderId, otherId] = shares[0]?.waitMs === 0 ? ids : [ids[1], ids[0]];
  t.is(holder?.waitMs, 0);
  t.is(other?.waitMs, Infinity);
  views.set(holderId as InstanceId, [otherId as InstanceId]);
  views.set(otherId as InstanceId, [otherId as InstanceId]);
  await clock.advance(500);
  holder?.take();
  t.is(holder?.waitMs, Infinity);
  t.is(other?.waitMs, Infinity);
  await clock.advance(3_900);
  t.is(other?.waitMs, Infinity);
  await clock.advance(400);
  t.true((other?.waitMs ?? Infinity) < Infinity);
});

test('there is no wait without a limit or after a limit is removed', async (t) => {
  const { clock, shares } = createShares(1);
  const [share] = shares as [RateShare];
  share.take();
  t.is(share.waitMs, 0);
  share.limit = 2;
  t.is(share.waitMs, 500);
  await clock.advance(500);
  t.is(share.waitMs, 0);
  share.limit = Infinity;
  t.is(share.waitMs, 0);
});
