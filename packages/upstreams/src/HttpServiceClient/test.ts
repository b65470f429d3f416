import test, { type ExecutionContext } from 'ava';
import { ManualClock, type RequestId } from '@acaciacrank/base';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { HttpEngineClient } from '../HttpEngineClient/index.js';
import type { GenerateRequest, ServiceRequest } from '../types.js';
import { HttpServiceClient } from './index.js';

const okAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';
const confirmation: ServiceRequest = {
  requestId: 'r1' as RequestId,
  method: 'POST',
  path: '/confirmations',
  headers: {},
  body: Buffer.from('{}'),
};
const generation: GenerateRequest = {
  requestId: 'r1' as RequestId,
  model: 'small',
  messages: [],
  maxTokens: 10,
  priority: 0,
};

interface Peer {
  readonly url: string;
  /** Methods of the requests that reached the peer. */
  readonly seen: string[];
  readonly sockets: Socket[];
}

/** Starts a raw TCP server that lets the test respond to each request. */
async function startPeer(
  t: ExecutionContext,
  onRequest: (socket: Socket, index: number) => void,
): Promise<Peer> {
  const seen: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const [method] = /^(GET|POST|DELETE) /.exec(data.toString('latin1')) ?? [];
      if (method === undefined) return;
      seen.push(method.trim());
      onRequest(socket, seen.length - 1);
    });
  });
  const port = await listen(server);
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { url: `http://127.0.0.1:${port}`, seen, sockets };
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

const noSignal = () => new AbortController().signal;

/** Waits until a connection has returned to the pool after its response. */
async function waitForPoolReturn(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) await new Promise(setImmediate);
}

async function firstFrame(frames: AsyncIterable<unknown>): Promise<unknown> {
  for await (const frame of frames) return frame;
  return undefined;
}

// Guards against charging a customer twice: the service closes an idle connection just as a
// confirmation is written to it. A reset before the first response byte does not mean that the call
// did not run. The outcome is unknown, so the confirmation must not be sent again.
test('a pooled connection that is closed during a call makes its outcome unknown', async (t) => {
  const peer = await startPeer(t, (socket, index) => {
    if (index === 0) socket.write(okAnswer);
    else socket.destroy();
  });
  await using client = new HttpServiceClient({ url: peer.url, clock: new ManualClock() });
  t.is((await client.call(confirmation, noSignal())).status, 200);
  await waitForPoolReturn();
  const error = await t.throwsAsync(client.call(confirmation, noSignal()));
  t.like(error, { kind: 'outcomeUnknown', ran: 'unknown' });
  t.deepEqual(peer.seen, ['POST', 'POST']);
  t.is(peer.sockets.length, 1);
});

// The same for an idempotent call: the HTTP library must not retry it by itself, since such a retry
// would not be counted by any retry budget.
test('the HTTP library does not retry by itself', async (t) => {
  const peer = await startPeer(t, (socket) => socket.destroy());
  await using client = new HttpServiceClient({ url: peer.url, clock: new ManualClock() });
  await t.throwsAsync(client.call({ ...confirmation, method: 'GET' }, noSignal()));
  t.deepEqual(peer.seen, ['GET']);
});

test('only a connection that was never established means that nothing ran', async (t) => {
  const server = createServer();
  const port = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  const options = { url: `http://127.0.0.1:${port}`, clock: new ManualClock() };
  await using service = new HttpServiceClient(options);
  await using engine = new HttpEngineClient(options);
  const refused = { kind: 'upstreamUnavailable', ran: 'notRun' };
  t.like(await t.throwsAsync(service.call(confirmation, noSignal())), refused);
  t.like(await t.throwsAsync(firstFrame(engine.generate(generation, noSignal()))), refused);
});

test('a call that is aborted while it is running has an unknown outcome', async (t) => {
  const abort = new AbortController();
  const peer = await startPeer(t, () => {
    abort.abort();
  });
  await using client = new HttpServiceClient({ url: peer.url, clock: new ManualClock() });
  const error = await t.throwsAsync(client.call(confirmation, abort.signal));
  t.like(error, { kind: 'outcomeUnknown', ran: 'unknown' });
});

test('a response over the size limit is cut off, and the call counts as run', async (t) => {
  const peer = await startPeer(t, (socket) => socket.write(okAnswer));
  const clock = new ManualClock();
  await using client = new HttpServiceClient({ url: peer.url, clock, maxAnswerBytes: 1 });
  const error = await t.throwsAsync(client.call(confirmation, noSignal()));
  t.like(error, { kind: 'upstreamFailed', ran: 'ran' });
});

// Guards against telling a caller that nothing ran while the engine generates: a 500 may follow
// after the request was accepted.
test("only an engine's refusal statuses claim that the request did not run", async (t) => {
  const statuses = [503, 429, 500, 504];
  const peer = await startPeer(t, (socket, index) => {
    socket.write(`HTTP/1.1 ${statuses[index] ?? 0} x\r\ncontent-length: 0\r\n\r\n`);
  });
  await using engine = new HttpEngineClient({ url: peer.url, clock: new ManualClock() });
  const claims: unknown[] = [];
  for (const status of statuses) {
    const error = await t.throwsAsync(firstFrame(engine.generate(generation, noSignal())));
    claims.push([status, (error as { ran?: string } | undefined)?.ran]);
  }
  t.deepEqual(claims, [
    [503, 'notRun'],
    [429, 'notRun'],
    [500, 'unknown'],
    [504, 'unknown'],
  ]);
});

// Guards against retries that all hang: a device has dropped all connections between instance and
// engine, and each retry would take the next dead one from the pool. A resume opens a new
// connection.
test('a resume does not use the old connections after a stall', async (t) => {
  const frame = { kind: 'token', requestId: 'r1', sequence: 0, text: 'x' };
  const peer = await startPeer(t, (socket, index) => {
    // The first response returns its connection to the pool; from then on that connection is dead.
    if (index === 0) socket.write(okAnswer);
    if (socket === peer.sockets[0]) return;
    socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n');
    socket.write(`data: ${JSON.stringify(frame)}\n\n`);
  });
  await using engine = new HttpEngineClient({ url: peer.url, clock: new ManualClock() });
  await engine.cancel('r0' as RequestId);
  await waitForPoolReturn();
  t.deepEqual(await firstFrame(engine.resume('r1' as RequestId, 0, noSignal())), frame);
  t.is(peer.sockets.length, 2);
});

// Guards against retries that all hang, each on the next dead connection of the pool. After one
// call was aborted, the next one opens a new connection.
test('an aborted call replaces the connection pool', async (t) => {
  const held: Socket[] = [];
  const peer = await startPeer(t, (socket, index) => {
    if (index < 2) held.push(socket);
    // Two concurrent calls open two connections; both get a response, then both are dead.
    if (index === 1) for (const each of held) each.write(okAnswer);
    if (!held.includes(socket)) socket.write(okAnswer);
  });
  const clock = new ManualClock();
  await using client = new HttpServiceClient({ url: peer.url, clock });
  await Promise.all([1, 2].map(() => client.call(confirmation, noSignal())));
  await waitForPoolReturn();
  const abort = new AbortController();
  const silent = t.throwsAsync(client.call(confirmation, abort.signal));
  while (peer.seen.length < 3) await new Promise(setImmediate);
  abort.abort();
  await silent;
  t.is(peer.sockets.length, 2);
  t.is((await client.call(confirmation, noSignal())).status, 200);
  // The second connection of the old pool would have been free too, but just as dead.
  t.true(peer.sockets.length > 2);
});

// Guards against an upstream that seems idle forever and attracts all requests: the poll of its
// load report hangs on a dead connection. The poll times out and the next one opens a new
// connection.
test('a load report on a dead connection times out', async (t) => {
  const clock = new ManualClock();
  let arrive: () => void = () => undefined;
  const arrived = new Promise<void>((resolve) => {
    arrive = resolve;
  });
  const peer = await startPeer(t, () => {
    arrive();
  });
  await using client = new HttpServiceClient({ url: peer.url, clock });
  const reading = t.throwsAsync(client.readLoad());
  await arrived;
  await clock.advance(5_000);
  t.like(await reading, { kind: 'upstreamUnavailable' });
});

/** A refusal of an earlier request that arrives a second time, with more behind it on the connection. */
const lateRefusal = 'HTTP/1.1 503 Full\r\nx-request-id: earlier\r\ncontent-length: 0\r\n\r\n';

// Guards against a claim that nothing ran, or an answer, that belongs to an earlier request.
test('a response to an earlier request leaves the outcome open, on calls and on streams', async (t) => {
  const peer = await startPeer(t, (socket) => socket.write(lateRefusal + okAnswer));
  const { url } = peer;
  const clock = new ManualClock();
  await using service = new HttpServiceClient({ url, clock });
  const called = await t.throwsAsync(service.call(confirmation, noSignal()));
  t.like(called, { kind: 'outcomeUnknown', ran: 'unknown' });
  await using engine = new HttpEngineClient({ url, clock });
  const generated = await t.throwsAsync(firstFrame(engine.generate(generation, noSignal())));
  t.like(generated, { kind: 'upstreamFailed', ran: 'unknown' });
});

// Guards against a part of a response that is taken for the whole, since it has no length.
test('a response without a length that ends with a reset is not whole', async (t) => {
  const peer = await startPeer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\na part');
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  await using client = new HttpServiceClient({ url: peer.url, clock: new ManualClock() });
  const call = client.call(confirmation, new AbortController().signal);
  await t.throwsAsync(call, { message: /connection to the service broke/ });
});
