import test, { type ExecutionContext } from 'ava';
import { ManualClock, Metrics, RouterError, type RequestId } from '@acaciacrank/base';
import type { ServiceResponse } from '@acaciacrank/upstreams';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import type { ChatFrame, ServiceCall } from '../types.js';
import { createCallerServer, type CreateCallerServerOptions } from './index.js';

const head = 'host: instance\r\nauthorization: Bearer secret\r\nacaciacrank-budget: one\r\n';

interface Rig {
  readonly port: number;
  readonly clock: ManualClock;
  readonly metrics: Metrics;
  /** Resolves when the connection of the first response has closed. */
  readonly closed: Promise<void>;
}

interface RigOptions extends Partial<CreateCallerServerOptions> {
  answer?: (call: ServiceCall) => Promise<ServiceResponse>;
  frames?: () => AsyncIterable<ChatFrame>;
}

async function listen(t: ExecutionContext, options: RigOptions): Promise<Rig> {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const unused = () => Promise.reject(new Error('not called in this test'));
  async function* nothing(): AsyncIterable<ChatFrame> {
    yield* [];
  }
  const server = createCallerServer({
    chat: { run: options.frames ?? nothing },
    services: { run: options.answer ?? unused },
    metrics,
    clock,
    directory: () => ({ instances: [], keepMs: 0 }),
    isAccepting: () => true,
    random: () => 0,
    ...options,
  });
  const closed = new Promise<void>((resolve) => {
    server.on('request', (_request, response: ServerResponse) => {
      response.once('close', () => {
        resolve();
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return { port: (server.address() as AddressInfo).port, clock, metrics, closed };
}

/** Sends raw bytes and reads until the connection ends. */
async function exchange(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  socket.write(text);
  let answer = '';
  for await (const chunk of socket as AsyncIterable<Buffer>) answer += chunk.toString('latin1');
  return answer;
}

function request(line: string, headers = '', body = ''): string {
  return `${line} HTTP/1.1\r\n${head}${headers}connection: close\r\n\r\n${body}`;
}

test('status, end-to-end headers and body are forwarded unchanged', async (t) => {
  let seen: ServiceCall | undefined;
  const rig = await listen(t, {
    answer: (call) => {
      seen = call;
      return Promise.resolve({
        status: 418,
        headers: {
          'set-cookie': ['a=1', 'b=2'],
          etag: 'x',
          connection: 'X-Inner',
          'x-inner': '1',
          'keep-alive': 'timeout=5',
        },
        body: Buffer.from('short and stout'),
      });
    },
  });
  const headers =
    'x-hop: 1\r\nx-end: 2\r\nte: trailers\r\nconnection: x-hop\r\ncontent-length: 2\r\n';
  const answer = await exchange(rig.port, request('PUT /services/pots/1?a=%2F', headers, 'hi'));
  t.like(seen, { service: 'pots', method: 'PUT', path: '/1?a=%2F' });
  t.is(Buffer.from(seen?.body ?? []).toString(), 'hi');
  t.deepEqual(Object.keys(seen?.headers ?? {}), ['acaciacrank-budget', 'x-end']);
  t.regex(answer, /^HTTP\/1.1 418 /);
  t.regex(answer, /set-cookie: a=1\r\nset-cookie: b=2\r\netag: x/);
  t.notRegex(answer, /x-inner|timeout=5/i);
  t.true(answer.endsWith('\r\n\r\nshort and stout'));
});

test('a response to HEAD keeps the content length of the omitted body', async (t) => {
  const headers = { 'content-length': '1234' };
  const answer = () => Promise.resolve({ status: 200, headers, body: Buffer.alloc(0) });
  const rig = await listen(t, { answer });
  t.regex(await exchange(rig.port, request('HEAD /services/pots/1')), /content-length: 1234/);
});

// Guards against running out of memory: a caller requests large responses and reads none of them,
// or its connection is dead. The connection is closed because it makes no progress.
test('the connection of a caller that reads nothing is closed', async (t) => {
  const body = Buffer.alloc(32 * 1_048_576);
  const answer = () => Promise.resolve({ status: 200, headers: {}, body });
  const rig = await listen(t, { answer });
  const socket: Socket = connect(rig.port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(request('GET /services/pots/1'));
  while (rig.clock.pendingTimers === 0) await new Promise(setImmediate);
  await rig.clock.advance(30_000);
  await rig.closed;
  t.is(rig.metrics.counter('stalledCallers'), 1);
  socket.destroy();
});

// Guards against an accumulation of connections: a client sends its headers very slowly, or
// declares a body and never sends it.
test('requests that arrive too slowly time out', async (t) => {
  const rig = await listen(t, { limits: { headersLimitMs: 50, requestLimitMs: 50 } });
  const slowHeaders = exchange(rig.port, `GET /services/pots/1 HTTP/1.1\r\nhost: i`);
  const missingBody = exchange(rig.port, request('PUT /services/pots/1', 'content-length: 9\r\n'));
  t.regex(await slowHeaders, /408/);
  t.regex(await missingBody, /408|400/);
});

test('a body over the size limit is refused before it has been received', async (t) => {
  const rig = await listen(t, { limits: { maxBodyBytes: 10 } });
  const announced = request('PUT /services/pots/1', 'content-length: 11\r\n');
  t.regex(await exchange(rig.port, announced), /^HTTP\/1.1 413 [^]*"ran":"notRun"/);
  const chunked = request('PUT /services/pots/1', 'transfer-encoding: chunked\r\n');
  const body = 'b\r\n01234567890\r\n0\r\n\r\n';
  t.regex(await exchange(rig.port, chunked + body), /^HTTP\/1.1 413 /);
});

// Guards against running out of memory: many callers each send a body within the size limit, and
// their requests stay unanswered for long.
test('the total size of bodies is bounded, and is freed when responses end', async (t) => {
  let answerFirst: (answer: ServiceResponse) => void = () => undefined;
  let arrive: () => void = () => undefined;
  const arrived = new Promise<void>((resolve) => {
    arrive = resolve;
  });
  const ok = { status: 200, headers: {}, body: Buffer.alloc(0) };
  const answer = (call: ServiceCall) => {
    if (call.path !== '/first') return Promise.resolve(ok);
    arrive();
    return new Promise<ServiceResponse>((resolve) => {
      answerFirst = resolve;
    });
  };
  const rig = await listen(t, { answer, limits: { maxHeldBytes: 10 } });
  const put = (path: string) =>
    exchange(rig.port, request(`PUT /services/pots/${path}`, 'content-length: 6\r\n', '123456'));
  const first = put('first');
  await arrived;
  t.regex(await put('second'), /^HTTP\/1.1 429 [^]*retry-after: 2\r\n[^]*"kind":"overloaded"/);
  answerFirst(ok);
  t.regex(await first, /^HTTP\/1.1 200 /);
  t.regex(await put('third'), /^HTTP\/1.1 200 /);
});

// Guards against taking half an answer for the whole one: if the answer breaks off, the stream must
// not end like a complete one. It ends with an error event, without a final frame.
test('an error after the first token ends the stream with an error event', async (t) => {
  async function* frames(): AsyncIterable<ChatFrame> {
    yield { kind: 'token', requestId: 'r1' as RequestId, sequence: 0, text: 'half' };
    throw new RouterError('upstreamFailed', 'the connection broke');
  }
  const rig = await listen(t, { frames });
  const body = JSON.stringify({
    model: 'small',
    stream: true,
    messages: [{ role: 'user', content: 'x' }],
  });
  const headers = `content-length: ${body.length}\r\n`;
  const answer = await exchange(rig.port, request('POST /v1/chat/completions', headers, body));
  t.regex(answer, /"sequence":0[^]*"error":\{"kind":"upstreamFailed"[^]*"ran":"unknown"/);
  t.notRegex(answer, /\[DONE\]|billedTokens/);
});
