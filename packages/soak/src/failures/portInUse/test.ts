import test from 'ava';
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOnLoopback } from '../../_lib/listenOnLoopback/index.js';
import { ProcessFixture } from '../../_lib/ProcessFixture/index.js';

// Guards against a process that cannot listen and stays, so that nobody starts it again.
test('a process that cannot listen on a port ends', async (t) => {
  const fixture = new ProcessFixture();
  await using _fixture = fixture;
  const other = createServer();
  const port = await listenOnLoopback(other);
  t.teardown(() => {
    other.close();
  });
  const instance = await fixture.startWithoutWaiting({ callers: port });
  for (let waitedMs = 0; instance.exitCount === 0 && waitedMs < 15_000; waitedMs += 50)
    await sleep(50);
  t.true(instance.exitCount > 0);
});
