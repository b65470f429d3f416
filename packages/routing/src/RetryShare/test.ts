import test from 'ava';
import { createRandom, ManualClock, type ServiceName } from '@acaciacrank/base';
import { RetryShare } from './index.js';

const service = 'app' as ServiceName;
const windowMs = 10_000;
const repeatsPerRequest = 0.2;
const freeRepeats = 58;

// A service fails every request for half a minute. Each instance would send all of them once more,
// and the service would get twice its load just when it is weakest.
test('all instances together keep to the allowance in every sliding window', (t) => {
  const clock = new ManualClock();
  const random = createRandom(1);
  const shares = [1, 2, 3, 4].map(
    () =>
      new RetryShare({ clock, repeatsPerRequest, freeRepeats, windowMs, instanceCount: () => 4 }),
  );
  const requests: number[] = [];
  const repeats: number[] = [];
  for (let step = 0; step < 3_000; step += 1) {
    clock.advance(10).catch(() => undefined);
    const share = shares[Math.floor(random() * shares.length)];
    share?.recordRequest(service);
    requests.push(clock.monotonicMs());
    if (share?.tryRepeat(service) === true) repeats.push(clock.monotonicMs());
    const sinceMs = clock.monotonicMs() - windowMs;
    const recent = (times: number[]) => times.filter((atMs) => atMs > sinceMs).length;
    t.true(recent(repeats) <= repeatsPerRequest * recent(requests) + freeRepeats);
  }
  t.true(repeats.length > 100);
});
