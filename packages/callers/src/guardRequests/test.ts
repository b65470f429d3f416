import test from 'ava';
import { createServer, get } from 'node:http';
import type { AddressInfo } from 'node:net';
import { guardRequests, type RequestHandler } from './index.js';

async function callHandler(
  handle: RequestHandler,
): Promise<{ status: number; failures: unknown[] }> {
  const failures: unknown[] = [];
  const server = createServer(guardRequests(handle, (thrown) => failures.push(thrown)));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const status = await new Promise<number>((resolve) => {
    get({ port, host: '127.0.0.1', agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? 0);
    }).on('error', () => {
      resolve(0);
    });
  });
  server.close();
  return { status, failures };
}

// Guards against one request that ends the process and all that it serves.
test('what a handler throws ends its own request only', async (t) => {
  const error = new Error('defect');
  const thrown = await callHandler(() => {
    throw error;
  });
  t.deepEqual(thrown, { status: 500, failures: [error] });
  const rejected = await callHandler(() => Promise.reject(error));
  t.deepEqual(rejected, { status: 500, failures: [error] });
  const late = await callHandler(async (_request, response) => {
    response.writeHead(200).flushHeaders();
    await Promise.reject(error);
  });
  t.deepEqual(late.failures, [error]);
});
