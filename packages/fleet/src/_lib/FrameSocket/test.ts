import { bytesInMebibyte, SystemClock } from '@acaciacrank/base';
import test from 'ava';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { WebSocketServer, type WebSocket } from 'ws';
import { FrameSocket } from './index.js';

const maxCostBytes = 32 * bytesInMebibyte;
const upgrade =
  'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n' +
  'Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n';

/** A binary frame as a client sends it, masked with zeros. */
function createFrame(payloadBytes: number): Buffer {
  const head = Buffer.alloc(14);
  head.writeUInt16BE(0x82_ff, 0);
  head.writeBigUInt64BE(BigInt(payloadBytes), 2);
  return Buffer.concat([head, Buffer.alloc(payloadBytes, 'x')]);
}

function usedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

// Guards against memory that grows while a peer that was refused continues to send.
test('frames of a refused peer are not held', async (t) => {
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  t.teardown(() => {
    server.close();
  });
  await new Promise((resolve) => server.once('listening', resolve));
  const accepted = new Promise<WebSocket>((resolve) => server.once('connection', resolve));
  const peer = connect((server.address() as AddressInfo).port, '127.0.0.1');
  peer.on('error', () => undefined);
  peer.write(upgrade);
  const clock = new SystemClock();
  const bounds = { pingMs: 1_000, silenceMs: 3_000, idleMs: 60_000 };
  const socket = new FrameSocket(await accepted, { clock, ...bounds, onSilent: () => undefined });
  const frame = createFrame(262_144);
  const more = () => {
    while (!peer.destroyed && peer.write(frame));
  };
  peer.on('drain', more);
  const beforeBytes = usedBytes();
  more();
  await socket.next();
  socket.close(4_401, 'wrongKey');
  let peakBytes = 0;
  while (socket.isOpen || !peer.destroyed) {
    await sleep(5);
    peakBytes = Math.max(peakBytes, usedBytes() - beforeBytes);
  }
  t.log(`+${Math.round(peakBytes / bytesInMebibyte)} MiB`);
  t.true(peakBytes <= maxCostBytes);
});
