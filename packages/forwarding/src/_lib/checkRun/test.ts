import { blockEventLoop, SystemClock } from '@acaciacrank/base';
import test from 'ava';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Client } from 'undici';
import { checkRun } from './index.js';

const codec = { runReportPath: '/report', readRunStart: Number };

// Guards against an instance that stood still, and does not know which run an upstream is that told it meanwhile.
test('a report that comes while the process stands still is read', async (t) => {
  const server = createServer((_request, response) => response.end('7'));
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(() => client.destroy());
  const { signal } = new AbortController();
  const result = checkRun(client, 7, codec, { clock: new SystemClock(), signal, timeoutMs: 300 });
  await blockEventLoop(700);
  t.deepEqual(await result, { check: 'same' });
});
