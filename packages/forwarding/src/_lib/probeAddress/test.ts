import { blockEventLoop, SystemClock } from '@acaciacrank/base';
import test from 'ava';
import { createServer, type AddressInfo } from 'node:net';
import { probeAddress } from './index.js';

const clock = new SystemClock();

test('an address is accepted while something listens there, and refused afterwards', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  t.is(await probeAddress(clock, address, 1_000), 'accepted');
  await new Promise((resolve) => {
    server.close(resolve);
  });
  t.is(await probeAddress(clock, address, 1_000), 'refused');
});

// Guards against an instance that stood still, and takes an upstream that accepted meanwhile for silent.
test('a connection that is accepted while the process stands still is no silence', async (t) => {
  const server = createServer();
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const outcome = probeAddress(clock, address, 250);
  await blockEventLoop(600);
  t.is(await outcome, 'accepted');
});
