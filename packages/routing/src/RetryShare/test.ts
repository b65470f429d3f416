import test from 'ava';
import { createRandom, ManualClock, type ServiceName } from '@acaciacrank/base';
import { RetryShare } from './index.js';

const service = 'app' as ServiceName;
const windowMs = 10_000;
const retriesPerRequest = 0.2;
const additionalRetries = 58;

// Guards against doubling the load on a failing service: it fails every request for half a minute, and
// without a limit each instance would retry all of them.
test('all instances combined stay within the allowance in every sliding window', (t) => {
  const clock = new ManualClock();
  const random = createRandom(1);
  const shares = [1, 2, 3, 4].map(
    () =>
      new RetryShare({
        clock,
        retriesPerRequest,
        additionalRetries,
        windowMs,
        instanceCount: () => 4,
      }),
  );
  const requests: number[] = [];
  const retries: number[] = [];
  for (let step = 0; step < 3_000; step += 1) {
    clock.advance(10).catch(() => undefined);
    const share = shares[Math.floor(random() * shares.length)];
    share?.recordRequest(service);
    requests.push(clock.monotonicMs());
    if (share?.tryRetry(service) === true) retries.push(clock.monotonicMs());
    const sinceMs = clock.monotonicMs() - windowMs;
    const recent = (times: number[]) => times.filter((atMs) => atMs > sinceMs).length;
    t.true(recent(retries) <= retriesPerRequest * recent(requests) + additionalRetries);
  }
  t.true(retries.length > 100);
});

function createShare() {
  const clock = new ManualClock();
  const share = new RetryShare({
    clock,
    retriesPerRequest: 0,
    additionalRetries: 2,
    windowMs,
    instanceCount: () => 1,
  });
  return { clock, share };
}

// Guards against a retry that was sent and is forgotten, since an older one that was not sent is given back.
test('giving back an old retry does not make room for more than the window allows', async (t) => {
  const { clock, share } = createShare();
  const old = share.takeRetry(service);
  await clock.advance(windowMs + 1);
  // The first one has left the window; this one is sent.
  t.true(share.tryRetry(service));
  old?.giveBack();
  t.false(share.tryRetry(service));
});

test('a retry that is given back can be taken again', (t) => {
  const { share } = createShare();
  const retry = share.takeRetry(service);
  t.false(share.tryRetry(service));
  retry?.giveBack();
  t.true(share.tryRetry(service));
});

// Guards against retries that wait for long and are sent together with those of the next window.
test('a retry counts from when it is sent', async (t) => {
  const { clock, share } = createShare();
  const retry = share.takeRetry(service);
  await clock.advance(windowMs - 1);
  retry?.recordSent();
  await clock.advance(2);
  t.false(share.tryRetry(service));
});
