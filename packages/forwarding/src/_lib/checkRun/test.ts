import { blockEventLoop, SystemClock } from '@acaciacrank/base';
import { rawHeaderValue } from '@acaciacrank/callers';
import test, { type ExecutionContext } from 'ava';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { emptyStatement } from '../splitStatement/index.js';
import { UpstreamConnection } from '../UpstreamConnection/index.js';
import { checkRun } from './index.js';

const clock = new SystemClock();
const codec = {
  runReportPath: '/report',
  readRunStart: (report: string) => (JSON.parse(report) as { born?: number }).born,
  readResponseHead: (_status: number, headers: readonly string[]) => {
    const requestId = rawHeaderValue(headers, 'x-request-id');
    const statement = emptyStatement;
    return { requestId, isSigned: false, isNotRun: false, isWrongUpstream: false, statement };
  },
};

/** Connects to an upstream that answers with a start once, and then again and again with the rest. */
async function connectTo(
  t: ExecutionContext,
  start: string,
  rest = '',
): Promise<UpstreamConnection> {
  const bytes = Buffer.from(rest.repeat(Math.ceil(65_536 / Math.max(1, rest.length))));
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    const more = () => {
      while (bytes.length > 0 && !socket.destroyed && socket.write(bytes));
    };
    socket.on('drain', more);
    socket.on('data', () => {
      socket.write(start);
      more();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const connection = new UpstreamConnection(
    clock,
    `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  t.teardown(() => {
    connection.destroy();
  });
  return connection;
}

const options = { clock, signal: AbortSignal.timeout(5_000), timeoutMs: undefined };

// Guards against taking a report of some size for bytes without end on an idle connection.
test('a report of 20 KB is read, and the connection stays open', async (t) => {
  const report = JSON.stringify({ born: 7, models: 'm'.repeat(20_000) });
  const answer = `HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`;
  const connection = await connectTo(t, answer);
  for (let index = 0; index < 3; index += 1) {
    t.deepEqual(await checkRun(connection, 7, codec, options), { check: 'same' });
  }
  t.is(connection.openCount, 1);
});

// Guards against a run check that takes up memory or time until the deadline of its request.
for (const [name, start, rest] of [
  ['body', 'HTTP/1.1 200 OK\r\n\r\n', 'x'],
  ['status line', 'HTTP/1.1 200 ', 'x'],
  ['empty lines', '', '\r\n'],
  ['chunk extension', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;', 'x'],
] as const) {
  test(`a report whose ${name} does not end states nothing, soon`, async (t) => {
    const connection = await connectTo(t, start, rest);
    const startedMs = performance.now();
    const { check } = await checkRun(connection, 7, codec, options);
    t.is(check, 'notStated');
    t.true(performance.now() - startedMs < 1_000);
  });
}

// Guards against an instance that stood still, and does not know which run an upstream is that told it meanwhile.
test.serial('a report that comes while the process stands still is read', async (t) => {
  const connection = await connectTo(t, 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"born":7}');
  const result = checkRun(connection, 7, codec, { ...options, timeoutMs: 300 });
  await blockEventLoop(700);
  t.deepEqual(await result, { check: 'same' });
});

// Guards against a late response to an earlier request that is taken for the report: each response on the connection
// would then be given to the request after its own.
test('a response with a request id is no report, and its connection is not used again', async (t) => {
  const late = 'HTTP/1.1 503 Full\r\nX-Request-Id: earlier\r\nContent-Length: 0\r\n\r\n';
  const connection = await connectTo(t, late);
  const { check, why } = await checkRun(connection, 7, codec, options);
  t.is(check, 'notStated');
  t.is(why, 'a response to a different request');
  t.false(connection.isOpen);
});
