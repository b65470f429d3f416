import test, { type ExecutionContext } from 'ava';
import { createHash } from 'node:crypto';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ClientConnections, type ClientCloseReason } from '../ClientConnections/index.js';
import { ManualClock } from '../ManualClock/index.js';
import { createBoundedServer, type CreateBoundedServerOptions } from './index.js';

const limits = {
  maxConnections: 10,
  maxRequestsAhead: 3,
  maxRequests: 5,
  maxHeadBytes: 10_000,
  stallTimeoutMs: 10_000,
};
const plain = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n';

async function listen(
  t: ExecutionContext,
  listener: RequestListener,
  options: Pick<CreateBoundedServerOptions, 'takesBodies' | 'hasRoomForBody'> = {},
) {
  const reasons: ClientCloseReason[] = [];
  const onClosed = (reason: ClientCloseReason) => reasons.push(reason);
  const connections = new ClientConnections({ limits, clock: new ManualClock(), onClosed });
  const server = createBoundedServer({ ...options, connections }, listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const open = () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    t.teardown(() => socket.destroy());
    return socket;
  };
  return { open, connections, reasons };
}

async function readAll(socket: Socket): Promise<string> {
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  await new Promise((resolve) => socket.once('close', resolve));
  return text;
}

// Guards against thousands of requests of one read, each of which is parsed and begun.
for (const [name, head] of [
  ['with a host', plain],
  ['that Node answers by itself', 'GET /x HTTP/1.1\r\n\r\n'],
  ['to connect', 'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n'],
] as const) {
  test(`requests ahead ${name} are parsed up to the limit only`, async (t) => {
    let began = 0;
    const { open, connections } = await listen(t, () => {
      began += 1;
    });
    const socket = open();
    socket.write(head.repeat(1_000));
    await readAll(socket);
    t.true(began <= limits.maxRequestsAhead, `${began}`);
    await sleep(20);
    t.is(connections.connectionCount, 0);
    t.is(connections.requestCount, 0);
  });
}

// Guards against requests that are answered one by one while the rest of their read is parsed.
test('requests ahead with bodies, each answered at once, are parsed up to the limit only', async (t) => {
  let began = 0;
  const { open, reasons } = await listen(t, (request, response) => {
    began += 1;
    request.resume().once('end', () => response.end('fine'));
  });
  const socket = open();
  socket.write('POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx'.repeat(1_000));
  await readAll(socket);
  t.true(began <= limits.maxRequestsAhead, `${began}`);
  t.deepEqual(reasons, ['tooManyRequestsAhead']);
});

// Guards against bodies that take the processor's time at a port that needs none.
for (const [name, field] of [
  ['with a length', 'Content-Length: 10'],
  ['in chunks', 'Transfer-Encoding: chunked'],
] as const) {
  test(`a body ${name} is refused with its head where none is taken`, async (t) => {
    let began = 0;
    const listener: RequestListener = (_request, response) => {
      began += 1;
      response.end('fine');
    };
    const { open, connections } = await listen(t, listener, { takesBodies: false });
    const socket = open();
    socket.write(`POST /x HTTP/1.1\r\nHost: h\r\n${field}\r\n\r\n`);
    t.regex(await readAll(socket), /^HTTP\/1.1 413 /);
    t.is(began, 0);
    t.is(connections.connectionCount, 0);
  });
}

// Guards against bodies that fill the memory before they are refused.
test('a body for which there is no room is refused with its head', async (t) => {
  const asked: number[] = [];
  const hasRoomForBody = (bytes: number) => {
    asked.push(bytes);
    return false;
  };
  const { open } = await listen(t, () => t.fail(), { hasRoomForBody });
  const socket = open();
  socket.write('POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n');
  t.regex(await readAll(socket), /^HTTP\/1.1 503 /);
  t.deepEqual(asked, [10]);
});

// Guards against a refusal that is taken for the response to the request before it.
test('a body that is refused behind an unanswered request closes the connection', async (t) => {
  const { open, connections } = await listen(t, () => undefined, { takesBodies: false });
  const socket = open();
  socket.write(`${plain}POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n`);
  t.is(await readAll(socket), '');
  t.is(connections.connectionCount, 0);
});

test('a request without a body is answered where none is taken', async (t) => {
  const listener: RequestListener = (_request, response) => response.end('fine');
  const { open } = await listen(t, listener, { takesBodies: false });
  const socket = open();
  socket.end('POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
  t.regex(await readAll(socket), /fine$/);
});

test('requests that follow each other are not limited', async (t) => {
  const { open, reasons } = await listen(t, (_request, response) => response.end('fine'));
  const socket = open();
  let answers = 0;
  await new Promise<void>((resolve) => {
    socket.on('data', (bytes) => {
      answers += bytes.toString('latin1').split('HTTP/1.1 200').length - 1;
      if (answers === 50) resolve();
      else socket.write(plain);
    });
    socket.write(plain);
  });
  t.deepEqual(reasons, []);
});

// Guards against work that continues for a request whose response waits behind another one when its client leaves.
test('all responses of a connection that closes are closed', async (t) => {
  const closed: string[] = [];
  let began = 0;
  const { open } = await listen(t, (request, response) => {
    began += 1;
    response.once('close', () => closed.push(request.url ?? ''));
  });
  const socket = open();
  socket.write('GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n');
  while (began < 2) await sleep(5);
  socket.destroy();
  while (closed.length < 2) await sleep(5);
  t.deepEqual(closed.sort(), ['/a', '/b']);
});

// Guards against an error that ends the process: a response is written after its connection has closed.
test('a response that is written after the close of its connection does no harm', async (t) => {
  const responses: ServerResponse[] = [];
  const { open } = await listen(t, (_request, response) => {
    responses.push(response);
  });
  const socket = open();
  socket.write(plain.repeat(2));
  while (responses.length < 2) await sleep(5);
  socket.destroy();
  await sleep(20);
  for (const response of responses) response.writeHead(200).end('late');
  await sleep(20);
  t.pass();
});

test('a request for which there is no room is refused, and its client told when to come back', async (t) => {
  const { open } = await listen(t, () => undefined);
  for (let count = 0; count < limits.maxRequests; count += 1) open().write(plain);
  await sleep(50);
  const socket = open();
  socket.write(plain);
  t.regex(await readAll(socket), /^HTTP\/1.1 503 [^]*retry-after: 1\r\n/);
});

test('a request for another protocol is answered as any other if none is served', async (t) => {
  const { open } = await listen(t, (_request, response) => response.end('fine'));
  const socket = open();
  socket.write(
    'GET /x HTTP/1.1\r\nHost: h\r\nConnection: upgrade, close\r\nUpgrade: websocket\r\n\r\n',
  );
  socket.setTimeout(300, () => socket.destroy());
  t.regex(await readAll(socket), /^HTTP\/1.1 200 /);
});

const smallChunks = `POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(5_000)}`;

/** Answers with the length and the digest of a request's body. */
const digestBody: RequestListener = (request, response) => {
  const hash = createHash('sha256');
  let bytes = 0;
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.byteLength;
    hash.update(chunk);
  });
  request.on('end', () => response.end(`${bytes} ${hash.digest('hex')}`));
};

function digestOf(body: Buffer): string {
  return `${body.byteLength} ${createHash('sha256').update(body).digest('hex')}`;
}

// Guards against bytes that are lost, doubled or out of order while reads are sliced.
test('requests are whole beside one in very small chunks', async (t) => {
  const { open } = await listen(t, digestBody);
  const early = open();
  await sleep(20);
  open().write(smallChunks);
  await sleep(50);
  for (const socket of [early, open()]) {
    const bodies = [3, 70_000, 400_000, 9_000].map((size, index) =>
      Buffer.alloc(size, `b${index}`),
    );
    const answers: string[] = [];
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      answers.splice(0, Infinity, ...(text.match(/^\d+ [0-9a-f]{64}/gm) ?? []));
    });
    for (const [index, body] of bodies.entries()) {
      socket.write(`POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.byteLength}\r\n\r\n`);
      socket.write(body);
      while (answers.length <= index) await sleep(5);
    }
    t.deepEqual(answers, bodies.map(digestOf));
  }
});

// Guards against an end that is taken for the end of a request, or is never seen, while reads are sliced.
test('a client that ends its side after its request gets its response while reads are sliced', async (t) => {
  const { open, connections } = await listen(t, digestBody);
  open().write(smallChunks);
  await sleep(50);
  const body = Buffer.alloc(100_000, 'e');
  const socket = open();
  socket.end(
    Buffer.concat([
      Buffer.from(`POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.byteLength}\r\n\r\n`),
      body,
    ]),
  );
  const text = await readAll(socket);
  t.true(text.includes(digestOf(body)), text);
  await sleep(20);
  t.is(connections.connectionCount, 1);
});

test('requests ahead are limited while reads are sliced', async (t) => {
  let began = 0;
  const { open } = await listen(t, (request) => {
    began += 1;
    request.resume();
  });
  open().write(smallChunks);
  await sleep(50);
  const socket = open();
  socket.write(plain.repeat(5_000));
  await readAll(socket);
  t.true(began <= 1 + limits.maxRequestsAhead, `${began}`);
});
