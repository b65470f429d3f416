/**
 * Bytes that nobody should send, on each port that an instance listens on.
 */
import test from 'ava';
import * as fc from 'fast-check';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ProcessFixture } from '../../_lib/ProcessFixture/index.js';

const seed = 20_261_204;
const requestsPerPort = 120;
const answerWaitMs = 40;

const targets = fc.oneof(
  fc.constantFrom(
    '//',
    '/',
    '*',
    '///',
    '//[',
    'http://',
    'http://[',
    '/%',
    '/%zz',
    '?',
    '/\\',
    ':80',
  ),
  fc.constantFrom(
    '/readiness',
    '/resolution?name=%',
    '/metrics',
    '//readiness',
    '/resolution#[',
    'a:b',
  ),
  fc.webUrl(),
  fc.string({ minLength: 1, maxLength: 60 }),
);
const lines = fc
  .tuple(
    fc.constantFrom(
      'GET',
      'POST',
      'HEAD',
      'PUT',
      'DELETE',
      'OPTIONS',
      'CONNECT',
      'TRACE',
      'PRI',
      'get',
    ),
    targets,
    fc.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/9.9', ''),
  )
  .map((words) => words.join(' '));
const headers = fc.oneof(
  fc.constantFrom(
    'Host: h',
    'Host:',
    'Content-Length: 5',
    'Content-Length: -1',
    'Transfer-Encoding: chunked',
  ),
  fc.constantFrom(
    'Expect: 100-continue',
    'Upgrade: websocket',
    'Connection: upgrade',
    'X-Request-Id: \u00ff',
  ),
  fc.constantFrom(
    'X-Token-Count: 9,9',
    'X-Prompt-Prefix: ::,',
    'acaciacrank-origin: %',
    'Authorization: Bearer',
  ),
  fc
    .tuple(fc.string({ maxLength: 12 }), fc.string({ maxLength: 30 }))
    .map(([a, b]) => `${a}: ${b}`),
);
const requests = fc
  .tuple(lines, fc.array(headers, { maxLength: 5 }), fc.string({ maxLength: 40 }))
  .map(([line, fields, body]) => `${line}\r\n${fields.join('\r\n')}\r\n\r\n${body}`);

/** Sends bytes and gives the process a moment to answer. */
async function send(port: number, text: string): Promise<void> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.resume();
  socket.write(Buffer.from(text, 'latin1'));
  await Promise.race([closed, sleep(answerWaitMs)]);
  socket.destroy();
}

// Guards against one request line, from anyone, that ends an instance, and so one after the other.
test('no request ends the process, on any port', async (t) => {
  const fixture = new ProcessFixture();
  await using _fixture = fixture;
  await fixture.start(1);
  const [instance] = fixture.instances;
  if (instance === undefined) throw new Error('no instance was started');
  const known = ['GET // HTTP/1.1\r\nHost: h\r\n\r\n', 'GET http://[ HTTP/1.1\r\nHost: h\r\n\r\n'];
  const texts = [...known, ...fc.sample(requests, { seed, numRuns: requestsPerPort })];
  await Promise.all(
    Object.entries(instance.ports).map(async ([name, port]) => {
      for (const text of texts) {
        await send(port, text);
        if (instance.exitCount > 0)
          throw new Error(`${name}: ended by or before ${JSON.stringify(text)}`);
      }
    }),
  );
  t.is(instance.exitCount, 0);
  const answer = await fetch(`http://127.0.0.1:${instance.ports.ready}/readiness`);
  t.is(answer.status, 200);
});
