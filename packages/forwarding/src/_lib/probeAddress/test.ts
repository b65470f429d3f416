import test from 'ava';
import { createServer, type AddressInfo } from 'node:net';
import { probeAddress } from './index.js';

test('an address is accepted while something listens there, and refused afterwards', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  t.is(await probeAddress(address, 1_000), 'accepted');
  await new Promise((resolve) => {
    server.close(resolve);
  });
  t.is(await probeAddress(address, 1_000), 'refused');
});
