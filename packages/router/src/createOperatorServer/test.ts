import test from 'ava';
import { digestText, ManualClock, Metrics } from '@acaciacrank/base';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { InstanceStatus } from '../describeInstance/index.js';
import { createOperatorServer } from './index.js';

const status: InstanceStatus = {
  instanceId: 'entry-1',
  isAccepting: true,
  stopPhase: 'running',
  openRequests: 0,
  openWork: 0,
  configuration: null,
  configurationProblem: null,
  blames: [],
  members: [],
  upstreams: [],
};
const key = 'operators-key';
const bearer = { authorization: `Bearer ${key}` };
const basic = { authorization: `Basic ${Buffer.from(`any:${key}`).toString('base64')}` };

async function startServer() {
  const metrics = new Metrics();
  let drainCount = 0;
  const server = createOperatorServer({
    clock: new ManualClock(),
    metrics,
    status: () => status,
    keyDigest: digestText(key),
    onLift: (feature) => (feature === ('p/1' as typeof feature) ? 1 : 0),
    onDrain: () => {
      drainCount += 1;
    },
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const send = (method: string, path: string, headers: Record<string, string>) =>
    new Promise<{ code: number | undefined; type: string | undefined; body: string }>(
      (resolve, reject) => {
        const sent = request({ port, host: '127.0.0.1', method, path, headers }, (answer) => {
          let body = '';
          answer.setEncoding('utf8');
          answer.on('data', (chunk: string) => {
            body += chunk;
          });
          answer.on('end', () => {
            resolve({ code: answer.statusCode, type: answer.headers['content-type'], body });
          });
        });
        sent.on('error', reject);
        sent.end();
      },
    );
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { send, metrics, drainCount: () => drainCount, [Symbol.dispose]: close };
}

test('serves the page, status and metrics only with the key', async (t) => {
  using port = await startServer();
  for (const path of ['/', '/status', '/metrics']) {
    t.is((await port.send('GET', path, bearer)).code, 200, path);
    t.is((await port.send('GET', path, basic)).code, 200, path);
    t.is((await port.send('GET', path, {})).code, 401, path);
    t.is((await port.send('GET', path, { authorization: 'Bearer wrong' })).code, 401, path);
  }
  t.is(port.metrics.counter('operatorKeysRefused'), 6);
  t.regex((await port.send('GET', '/', bearer)).type ?? '', /^text\/html/);
  t.like(JSON.parse((await port.send('GET', '/status', bearer)).body), { instanceId: 'entry-1' });
});

// Guards against CSRF: an operator with the status page open visits a site that posts a form to the
// operators' port, and the browser adds the password. This must not stop the instance.
test('a drain requires the bearer token, which browsers do not add by themselves', async (t) => {
  using port = await startServer();
  t.is((await port.send('POST', '/drain', basic)).code, 401);
  t.is((await port.send('GET', '/drain', bearer)).code, 404);
  t.is(port.drainCount(), 0);
  t.is((await port.send('POST', '/drain', bearer)).code, 200);
  t.is(port.drainCount(), 1);
});

test('headers that are too large are rejected', async (t) => {
  using port = await startServer();
  const { code } = await port.send('GET', '/status', { ...bearer, padding: 'x'.repeat(9_000) });
  t.is(code, 431);
});

test('lifts the blame of a feature, only with the bearer token', async (t) => {
  using port = await startServer();
  t.is((await port.send('POST', '/lift/p%2F1', basic)).code, 401);
  t.is((await port.send('POST', '/lift/p%2F1', bearer)).body, '{"lifted":1}');
  t.is((await port.send('POST', '/lift/other', bearer)).body, '{"lifted":0}');
});
