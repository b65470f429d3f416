import {
  blockEventLoop,
  createLog,
  Metrics,
  SystemClock,
  type UpstreamId,
} from '@acaciacrank/base';
import test from 'ava';
import { createServer, type AddressInfo } from 'node:net';
import { ReachMonitor } from './index.js';

// Guards against an instance that stood still during its probes, and reports that no upstream is reached.
test('probes that are accepted while the process stands still answer the doubt', async (t) => {
  const server = createServer();
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  using monitor = new ReachMonitor({
    clock: new SystemClock(),
    random: () => 0,
    log: createLog('test', { stream: { write: () => true } }),
    metrics: new Metrics(),
    targets: () => [1, 2, 3].map(() => ({ address, sinceReceivedMs: 0 })),
    onReturn: () => undefined,
  });
  monitor.reach.recordConnectFailed('u1' as UpstreamId);
  monitor.reach.recordConnectFailed('u2' as UpstreamId);
  const isReached = monitor.settle();
  await blockEventLoop(600);
  t.true(await isReached);
});
