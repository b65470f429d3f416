/**
 * What callers see of an answer when the process that passes it on ends.
 */
import test from 'ava';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { accounts, host } from '../../_lib/buildSoakConfiguration/index.js';
import { ProcessFixture } from '../../_lib/ProcessFixture/index.js';

/** The bytes of an answer up to the end of its connection, and whether that was in good order. */
interface RawAnswer {
  readonly text: string;
  readonly isOrderly: boolean;
}

const gapMs = 50;

/** Answers with a stream that has neither a length nor chunks and ends with its connection. */
function streamUnframed(events: number) {
  return (socket: Socket, head: string) => {
    if (head.startsWith('GET /report')) {
      socket.write('HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    const id = /x-request-id: (\S+)/i.exec(head)?.[1] ?? '';
    const lines = [`X-Request-Id: ${id}`, `X-Response-Seal: s.${id}`, 'Connection: close'];
    socket.write(
      `HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\nContent-Type: text/event-stream\r\n\r\n`,
    );
    void sendEvents(socket, events);
  };
}

async function sendEvents(socket: Socket, events: number): Promise<void> {
  for (let id = 1; id <= events && !socket.destroyed; id += 1) {
    socket.write(`id: ${id}\ndata: piece ${id}\n\n`);
    await sleep(gapMs);
  }
  socket.end();
}

/** Sends a request and reads up to the end of the connection. */
function read(port: number, id: string, version = '1.1'): Promise<RawAnswer> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    let isOrderly = false;
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('end', () => {
      isOrderly = true;
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve({ text, isOrderly });
    });
    const headers = [
      `Host: ${host}`,
      `X-Request-Id: ${id}`,
      'X-Time-Budget: 20000',
      `Authorization: Bearer ${accounts[0]?.key ?? ''}`,
      'X-Token-Count: 100,900',
      'X-Prompt-Prefix: 1:100',
      'Connection: close',
    ];
    socket.write(`POST /plan/x HTTP/${version}\r\n${headers.join('\r\n')}\r\n\r\n`);
  });
}

/** Whether a client takes the answer for a whole one, by the rules of HTTP/1.1. */
function looksWhole({ text, isOrderly }: RawAnswer): boolean {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const head = text.slice(0, end).toLowerCase();
  const body = text.slice(end + 4);
  if (head.includes('transfer-encoding: chunked')) return body.endsWith('0\r\n\r\n');
  const length = /content-length: (\d+)/.exec(head)?.[1];
  return length === undefined ? isOrderly : body.length >= Number(length);
}

const eventsIn = ({ text }: RawAnswer) => text.split('data: piece ').length - 1;

async function startStreams(instances: number, events: number, version?: string) {
  const fixture = new ProcessFixture();
  await fixture.addUpstream('lm', streamUnframed(events));
  await fixture.start(instances);
  await sleep(1_000);
  const [instance] = fixture.instances;
  const reading = Array.from({ length: 4 }, (_, index) =>
    read(instance?.ports.front ?? 0, `r${index}`, version),
  );
  await sleep(700);
  return { fixture, reading };
}

// Guards against a stream that a caller takes for a whole one, since the process that passed it on was killed.
test.serial(
  'a stream without a length does not look whole where its process is killed',
  async (t) => {
    const { fixture, reading } = await startStreams(1, 40);
    await using _fixture = fixture;
    fixture.instances[0]?.signal('SIGKILL');
    for (const answer of await Promise.all(reading)) {
      t.true(eventsIn(answer) > 2 && eventsIn(answer) < 40, answer.text.slice(0, 200));
      t.false(looksWhole(answer));
    }
  },
);

// Guards against the same where a planned stop has no more time for the stream.
test.serial('a stream without a length does not look whole where its process stops', async (t) => {
  const { fixture, reading } = await startStreams(1, 240);
  await using _fixture = fixture;
  fixture.instances[0]?.signal('SIGTERM');
  for (const answer of await Promise.all(reading)) {
    t.true(eventsIn(answer) > 2 && eventsIn(answer) < 240);
    t.false(looksWhole(answer));
  }
});

// Guards against a rule so strict that whole streams look cut.
for (const version of ['1.0', '1.1']) {
  test.serial(`a stream without a length is whole for a caller of HTTP/${version}`, async (t) => {
    const { fixture, reading } = await startStreams(1, 20, version);
    await using _fixture = fixture;
    for (const answer of await Promise.all(reading)) {
      t.is(eventsIn(answer), 20);
      t.true(looksWhole(answer));
    }
  });
}

// Guards against a part that looks whole to a caller who does not support chunks.
test.serial(
  'a stream for a caller of HTTP/1.0 does not look whole where its process is killed',
  async (t) => {
    const { fixture, reading } = await startStreams(1, 40, '1.0');
    await using _fixture = fixture;
    fixture.instances[0]?.signal('SIGKILL');
    for (const answer of await Promise.all(reading)) t.false(looksWhole(answer));
  },
);

// Guards against the end of a peer that is killed, which an instance takes for the end of the answer it relays.
test.serial(
  'a relayed stream does not look whole where the process of the peer is killed',
  async (t) => {
    const fixture = new ProcessFixture();
    await using _fixture = fixture;
    for (let index = 0; index < 4; index += 1) await fixture.addUpstream('lm', streamUnframed(80));
    await fixture.start(2);
    await sleep(1_500);
    fixture.upstreamCuts[0]?.begin({ form: 'refuse', ports: fixture.upstreamPorts });
    const [first, peer] = fixture.instances;
    // By the first requests that fail it finds out that it reaches no upstream.
    for (let index = 0; index < 4; index += 1)
      await read(first?.ports.front ?? 0, `early-${index}`);
    await sleep(1_000);
    const reading = Array.from({ length: 4 }, (_, index) =>
      read(first?.ports.front ?? 0, `relayed-${index}`),
    );
    await sleep(1_500);
    peer?.signal('SIGKILL');
    const answers = await Promise.all(reading);
    const isPart = (answer: RawAnswer) => eventsIn(answer) > 0 && eventsIn(answer) < 80;
    t.true(answers.some(isPart), answers.map(({ text }) => text).join('\n'));
    for (const answer of answers.filter(isPart)) t.false(looksWhole(answer));
  },
);
