import test from 'ava';
import { ManualClock } from '../ManualClock/index.js';
import { ClientConnections, type ClientCloseReason, type ClientLimits } from './index.js';

const limits: ClientLimits = {
  maxConnections: 3,
  maxRequestsAhead: 2,
  maxRequests: 3,
  maxHeadBytes: 100,
  stallTimeoutMs: 1_000,
};

class FakeSocket {
  bytesRead = 0;
  bytesWritten = 0;
  writableLength = 0;
  isDestroyed = false;
  readonly #connections: ClientConnections;

  constructor(connections: ClientConnections) {
    this.#connections = connections;
    connections.add(this);
  }

  destroy(): void {
    this.isDestroyed = true;
  }

  /** What happens at the end of a turn of the event loop. */
  close(): void {
    this.#connections.remove(this);
  }

  begin(isWhole = true, headerTexts = 10, text = 'h') {
    const response = {
      req: { complete: isWhole, url: '/x', rawHeaders: Array<string>(headerTexts).fill(text) },
      writableEnded: false,
      writableFinished: false,
    };
    if (this.#connections.beginRequest(this)) this.#connections.addResponse(this, response);
    else this.#connections.close(this, 'tooManyRequestsAhead');
    return response;
  }
}

function createRig(overrides: Partial<ClientLimits> = {}) {
  const clock = new ManualClock();
  const reasons: ClientCloseReason[] = [];
  const connections = new ClientConnections({
    limits: { ...limits, ...overrides },
    clock,
    onClosed: (reason) => reasons.push(reason),
  });
  return { clock, reasons, connections, connect: () => new FakeSocket(connections) };
}

test('a connection without any request gives way to a new one, before an idle one', (t) => {
  const { connections, connect, reasons } = createRig();
  const idle = connect();
  connections.removeResponse(idle, idle.begin());
  const fresh = connect();
  const busy = connect();
  busy.begin();
  const next = connect();
  t.true(fresh.isDestroyed);
  t.false(idle.isDestroyed);
  const last = connect();
  t.true(next.isDestroyed);
  last.begin();
  connect().begin();
  t.true(idle.isDestroyed);
  t.false(busy.isDestroyed);
  t.deepEqual([...new Set(reasons)], ['tooManyConnections']);
});

// Guards against a crowd with one request each that never becomes whole.
test('a connection with a request that is not whole gives way to a new one', (t) => {
  const { connect } = createRig();
  const ordinary = connect();
  ordinary.begin();
  const [first, second] = [connect(), connect()];
  first.begin(false);
  second.begin(false);
  const next = connect();
  t.true(first.isDestroyed);
  next.begin();
  t.false([second, next, ordinary].some(({ isDestroyed }) => isDestroyed));
});

// Guards against an ordinary request that is refused although another connection has given way to it.
test('a connection with a request that is not whole gives way to a request, which has room at once', (t) => {
  const { connections, connect } = createRig({ maxConnections: 10 });
  const ordinary = connect();
  ordinary.begin();
  const [first, second, next] = [connect(), connect(), connect()];
  first.begin(false);
  second.begin(false);
  next.begin();
  t.true(first.isDestroyed);
  t.true(connections.hasRoom);
  t.false([second, next, ordinary].some(({ isDestroyed }) => isDestroyed));
  first.close();
  t.is(connections.requestCount, 3);
});

test('a new connection is closed if all others wait for one response each', (t) => {
  const { connect } = createRig();
  const busy = [connect(), connect(), connect()];
  for (const socket of busy) socket.begin();
  t.true(connect().isDestroyed);
  t.false(busy.some(({ isDestroyed }) => isDestroyed));
});

test('a connection with too many requests ahead is closed', (t) => {
  const { connect, reasons } = createRig();
  const socket = connect();
  socket.begin();
  socket.begin();
  t.false(socket.isDestroyed);
  socket.begin();
  t.true(socket.isDestroyed);
  t.deepEqual(reasons, ['tooManyRequestsAhead']);
});

test('where requests are too many, a connection with several gives way to one with a single one', (t) => {
  const { connections, connect, reasons } = createRig();
  const crowd = connect();
  crowd.begin();
  crowd.begin();
  const ordinary = connect();
  ordinary.begin();
  t.true(connections.hasRoom);
  const next = connect();
  next.begin();
  t.true(crowd.isDestroyed);
  t.deepEqual(reasons, ['tooManyRequests']);
  crowd.close();
  t.true(connections.hasRoom);
  t.is(connections.requestCount, 2);
});

// Guards against requests with thousands of headers, which hold as much as many ordinary ones.
test('a request with many headers counts as several', (t) => {
  const { connections, connect } = createRig();
  const heavy = connect();
  heavy.begin(true, 129);
  t.is(connections.requestCount, 2);
  connect().begin();
  const ordinary = connect();
  ordinary.begin();
  t.true(heavy.isDestroyed);
  t.false(ordinary.isDestroyed);
  heavy.close();
  t.is(connections.requestCount, 2);
});

// Guards against heads of tens of kilobytes, each of which holds as much as many ordinary ones.
test('a request with a large head counts as several', (t) => {
  const { connections, connect } = createRig();
  const heavy = connect();
  heavy.begin(true, 1, 'h'.repeat(8_192));
  t.is(connections.requestCount, 2);
  heavy.close();
  t.is(connections.requestCount, 0);
});

test('where requests are too many and none is ahead, there is no room', (t) => {
  const { connections, connect } = createRig({ maxConnections: 10 });
  for (let count = 0; count < 3; count += 1) connect().begin();
  t.true(connections.hasRoom);
  const last = connect();
  const response = last.begin();
  t.false(connections.hasRoom);
  t.false(last.isDestroyed);
  connections.removeResponse(last, response);
  t.true(connections.hasRoom);
});

test('a client that does not read a complete response is closed', async (t) => {
  const { clock, connections, connect, reasons } = createRig();
  const socket = connect();
  const response = socket.begin();
  socket.bytesWritten = 100;
  socket.writableLength = 60;
  await clock.advance(2_000);
  connections.check();
  response.writableEnded = true;
  connections.check();
  await clock.advance(900);
  socket.writableLength = 50;
  connections.check();
  await clock.advance(900);
  connections.check();
  t.false(socket.isDestroyed);
  await clock.advance(100);
  connections.check();
  t.true(socket.isDestroyed);
  t.deepEqual(reasons, ['responseNotRead']);
});

// Guards against a crowd with one request each that reads nothing of its response, which leaves no room for others.
test('a connection whose response is not read gives way to a request', async (t) => {
  const { clock, connections, connect } = createRig({ maxConnections: 10 });
  const [reading, unread, other] = [connect(), connect(), connect()];
  for (const socket of [reading, unread, other]) socket.begin();
  unread.bytesWritten = 100;
  unread.writableLength = 60;
  connections.check();
  await clock.advance(1_000);
  connections.check();
  connect().begin();
  t.deepEqual(
    [reading, unread, other].map(({ isDestroyed }) => isDestroyed),
    [false, true, false],
  );
  t.true(connections.hasRoom);
});

// Guards against idle connections that are closed since the bodies of their requests are taken for heads.
test('the body of a request that has ended is no head', (t) => {
  const { connections, connect, reasons } = createRig();
  const socket = connect();
  const response = socket.begin();
  socket.bytesRead = 1_000;
  connections.removeResponse(socket, response);
  connections.check();
  t.deepEqual(reasons, []);
});

test('incomplete heads are bounded together, the oldest is closed', (t) => {
  const { connections, connect, reasons } = createRig();
  const [first, second, third] = [connect(), connect(), connect()];
  second.bytesRead = 60;
  third.bytesRead = 50;
  connections.check();
  t.deepEqual(
    [first, second, third].map((one) => one.isDestroyed),
    [false, true, false],
  );
  t.deepEqual(reasons, ['tooManyHeadBytes']);
});
