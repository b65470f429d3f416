/**
 * An engine that sends bytes without end which are no answer, over real connections.
 */
import { bytesInMebibyte, SystemClock, type RequestId } from '@acaciacrank/base';
import test, { type ExecutionContext } from 'ava';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { HttpEngineClient } from './index.js';

const maxCostBytes = 32 * bytesInMebibyte;
const maxCallMs = 2_000;
const calls = 16;
const letters = Buffer.alloc(65_536, 'x');

/** Starts an engine that pours a body after a head. */
async function startEngine(t: ExecutionContext, start: string): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    const more = () => {
      while (!socket.destroyed && socket.write(letters));
    };
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${start}`);
      socket.on('drain', more);
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
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function generate(client: HttpEngineClient): Promise<void> {
  const request = {
    requestId: 'r1' as RequestId,
    model: 'small',
    messages: [],
    maxTokens: 10,
    priority: 0,
  };
  await client.generate(request, AbortSignal.timeout(4_000))[Symbol.asyncIterator]().next();
}

function usedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

const forms = [
  ['a frame', 'content-type: text/event-stream\r\n\r\ndata: ', generate],
  ['a load report', '\r\n', (client: HttpEngineClient) => client.readLoad()],
  [
    'the outcome of an order',
    '\r\n',
    (client: HttpEngineClient) => client.order({} as never, AbortSignal.timeout(4_000)),
  ],
] as const;

// Guards against memory that grows until a timeout, since an engine sends bytes without end.
for (const [name, start, call] of forms) {
  test.serial(`${name} without end fails soon`, async (t) => {
    const url = await startEngine(t, start);
    await using client = new HttpEngineClient({ url, clock: new SystemClock() });
    const beforeBytes = usedBytes();
    let peakBytes = beforeBytes;
    const sampler = setInterval(() => {
      peakBytes = Math.max(peakBytes, usedBytes());
    }, 5);
    const startedMs = performance.now();
    const results = await Promise.allSettled(Array.from({ length: calls }, () => call(client)));
    const tookMs = performance.now() - startedMs;
    clearInterval(sampler);
    const costMebibytes = Math.round((peakBytes - beforeBytes) / bytesInMebibyte);
    const what = `${Math.round(tookMs)} ms, +${costMebibytes} MiB`;
    t.log(what);
    t.true(results.every(({ status }) => status === 'rejected'));
    t.true(tookMs <= maxCallMs, what);
    t.true(peakBytes - beforeBytes <= maxCostBytes, what);
  });
}
