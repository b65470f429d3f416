import { blockEventLoop, SystemClock } from '@acaciacrank/base';
import test from 'ava';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { UpstreamConnection } from './index.js';

// Guards against an instance that stood still while it connected, and leaves an upstream out that had accepted.
test('a connection that is accepted while the process stands still comes about', async (t) => {
  const server = createServer((_request, response) => response.end('fine'));
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const outcomes: boolean[] = [];
  const connection = new UpstreamConnection(new SystemClock(), address, {
    onConnect: (isConnected) => outcomes.push(isConnected),
  });
  t.teardown(() => {
    connection.destroy();
  });
  const answer = connection.client.request({ method: 'GET', path: '/' });
  await blockEventLoop(900);
  t.is(await (await answer).body.text(), 'fine');
  t.deepEqual(outcomes, [true]);
});
