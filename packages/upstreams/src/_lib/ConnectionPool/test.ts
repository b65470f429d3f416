import { SystemClock } from '@acaciacrank/base';
import test from 'ava';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { ConnectionPool } from './index.js';

/** How the server sees a connection end. */
type SeenEnd = 'end' | 'reset';

async function openPool() {
  const seen: SeenEnd[] = [];
  const server = createServer((socket) => {
    socket.on('end', () => seen.push('end'));
    socket.on('error', () => seen.push('reset'));
    socket.resume();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const pool = new ConnectionPool({ clock: new SystemClock(), connections: 4 });
  const request = (signal?: AbortSignal) =>
    pool.dispatcher.request({
      origin: `http://127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      signal,
    });
  const accepted = once(server, 'connection').then(([socket]) => socket as Socket);
  return { pool, request, seen, server, accepted };
}

// Guards against a request that waits in the kernel and is delivered after it was given up.
test('the connection of an aborted request is reset', async (t) => {
  const { request, seen, server, accepted } = await openPool();
  const abort = new AbortController();
  const requesting = request(abort.signal);
  const socket = await accepted;
  await once(socket, 'data');
  abort.abort(new Error('given up'));
  await t.throwsAsync(requesting, { message: 'given up' });
  await once(socket, 'close').catch(() => undefined);
  t.deepEqual(seen, ['reset']);
  server.close();
});

// Guards against resets of connections whose request was answered.
test('a connection without a request ends in good order', async (t) => {
  const { pool, request, seen, server, accepted } = await openPool();
  const requesting = request();
  const socket = await accepted;
  await once(socket, 'data');
  socket.write('HTTP/1.1 204 No Content\r\n\r\n');
  await requesting;
  await Promise.all([once(socket, 'end'), pool[Symbol.asyncDispose]()]);
  t.deepEqual(seen, ['end']);
  server.close();
});

test('a connection that is refused fails at once', async (t) => {
  const { request, server } = await openPool();
  server.close();
  const error = await t.throwsAsync(request());
  t.like(error, { code: 'ECONNREFUSED', syscall: 'connect' });
});
