/**
 * Crowds of clients that keep no limit, at the port for callers.
 */
import test from 'ava';
import { accounts, host } from '../../../_lib/buildSoakConfiguration/index.js';
import type { Flood } from '../../../_lib/FloodingClients/index.js';
import { checkFloodOutcome } from '../../../_lib/checkFloodOutcome/index.js';
import { largePath, playFlood, silentId } from '../../../_lib/playFlood/index.js';

const machine = { memoryMb: 160, maxFds: 512 };
const crowdSize = 100;
/** Many connections fit here, so that what each of them holds counts. */
const wideMachine = { memoryMb: 160, maxFds: 4_096 };
const wideCrowdSize = 600;

const key = `Authorization: Bearer ${accounts[0]?.key ?? ''}\r\n`;
const head = (line: string, fields = '') => `${line} HTTP/1.1\r\nHost: ${host}\r\n${fields}\r\n`;
const bodyHead = head('POST /pay/x', `${key}X-Request-Id: b\r\nTransfer-Encoding: chunked\r\n`);
const largeChunkBytes = 60 * 1_024;
const largeChunk = `${largeChunkBytes.toString(16)}\r\n${'x'.repeat(largeChunkBytes)}\r\n`;

const floods: readonly (Omit<Flood, 'connections'> & { connections?: number })[] = [
  { name: 'large chunks without an end', start: bodyHead, repeated: largeChunk, times: 16 },
  {
    name: 'chunks of one byte without an end',
    start: bodyHead,
    repeated: '1\r\nx\r\n',
    times: 24_000,
  },
  {
    name: 'requests ahead without headers',
    start: '',
    repeated: 'GET / HTTP/1.1\r\n\r\n',
    times: 70_000,
  },
  { name: 'requests ahead to a route', start: '', repeated: head('GET /read/x'), times: 26_000 },
  {
    name: 'requests ahead to a host without routes',
    start: '',
    repeated: 'GET / HTTP/1.1\r\nHost: none.example\r\n\r\n',
    times: 40_000,
  },
  {
    name: 'whole requests ahead with a key',
    start: '',
    repeated: head('GET /read/x', `${key}X-Request-Id: a\r\n`),
    times: 1_200,
  },
  {
    name: 'whole large bodies ahead',
    start: '',
    repeated:
      head('POST /pay/x', `${key}X-Request-Id: l\r\nContent-Length: 1000000\r\n`) +
      'x'.repeat(1_000_000),
    times: 4,
  },
  {
    name: 'requests ahead with many headers',
    start: '',
    repeated: head('GET /read/x', 'a: b\r\n'.repeat(1_900)),
    times: 50,
    connections: 500,
  },
  {
    name: 'requests ahead that no upstream answers',
    start: '',
    repeated: head('POST /pay/x', `${key}X-Request-Id: ${silentId}\r\n`),
    times: 7,
    connections: 200,
  },
  {
    name: 'requests ahead with an expectation that is not known',
    start: '',
    repeated: `${head('POST /pay/x', `${key}Expect: nothing\r\nContent-Length: 1\r\n`)}x`,
    times: 20_000,
  },
  {
    name: 'small bodies ahead to a host without routes',
    start: '',
    repeated: 'POST / HTTP/1.1\r\nHost: none.example\r\nContent-Length: 1\r\n\r\nx',
    times: 20_000,
  },
  { name: 'heads without an end', start: 'GET /', repeated: 'x', times: 16_000 },
];

// Guards against clients that make an instance hold more than its machine has.
for (const { connections = crowdSize, ...rest } of floods) {
  const flood = { ...rest, connections };
  test.serial(`an instance bears ${flood.name}`, async (t) => {
    const outcome = await playFlood('front', flood, machine);
    checkFloodOutcome(t, outcome, machine);
  });
}

interface WideFlood extends Omit<Flood, 'connections'> {
  readonly isCrowdOrdinary?: boolean;
}

const wideFloods: readonly WideFlood[] = [
  {
    name: 'requests ahead with large heads',
    start: '',
    repeated: head('GET /read/x', `${key}X-Request-Id: h\r\nX-Large: ${'v'.repeat(60_000)}\r\n`),
    times: 20,
  },
  {
    name: 'bodies ahead that arrive at once, and that no upstream answers',
    start: '',
    repeated:
      head('POST /pay/x', `${key}X-Request-Id: ${silentId}\r\nContent-Length: 60000\r\n`) +
      'x'.repeat(60_000),
    times: 8,
  },
  {
    name: 'large answers that nobody reads',
    start: '',
    repeated: head(`GET ${largePath}`, `${key}X-Request-Id: u\r\n`),
    times: 1,
    isCrowdOrdinary: true,
  },
  {
    name: 'large answers by HTTP/1.0 that nobody reads',
    start: '',
    repeated: `GET ${largePath} HTTP/1.0\r\nHost: ${host}\r\n${key}X-Request-Id: u\r\n\r\n`,
    times: 1,
    isCrowdOrdinary: true,
  },
];

// Guards against bounds on the number of what clients have under way that say too little of its size.
for (const { isCrowdOrdinary = false, ...rest } of wideFloods) {
  const flood = { ...rest, connections: wideCrowdSize };
  test.serial(`an instance bears ${flood.name}`, async (t) => {
    const outcome = await playFlood('front', flood, wideMachine);
    checkFloodOutcome(t, outcome, wideMachine, { isCrowdOrdinary });
  });
}

// Guards against a crowd with one request each that is never whole, which leaves no connection to others.
test.serial('an instance bears bodies that are announced and not sent', async (t) => {
  const start = head('POST /pay/x', `${key}X-Request-Id: n\r\nContent-Length: 4000000\r\n`);
  const flood = { name: 'announced bodies', connections: 200, start, repeated: 'x', times: 1 };
  const outcome = await playFlood('front', flood, machine);
  checkFloodOutcome(t, outcome, machine);
});

// Guards against connections that take all descriptors of an instance, so that it reaches neither its store nor upstreams.
test.serial('an instance bears connections that send nothing', async (t) => {
  const idle = { name: 'connections', connections: 600, start: '', repeated: '', times: 0 };
  const outcome = await playFlood('front', idle, machine);
  checkFloodOutcome(t, outcome, machine);
});
