import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import { closeServer } from '../listenOnLoopback/index.js';

/** The ports that instances listen on: a range for each process, shared by one in a hundred. */
const ports = { least: 20_000, each: 120, ranges: 100 } as const;

/**
 * Ports that nobody listens on now, for all instances at once.
 *
 * Guards against ports that are given twice, which shows as an instance that never gets ready: until
 * an instance listens its ports look free, also while it is down after a kill. So one look serves all
 * instances of a soak, each soak has a range of its own, and the ranges lie below the ports that the
 * system gives to connections.
 */
export async function freePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  const least = ports.least + (process.pid % ports.ranges) * ports.each;
  while (found.length < count) {
    const port = randomInt(least, least + ports.each);
    if (!found.includes(port) && (await isFree(port))) found.push(port);
  }
  return found;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(true);
    });
  });
  if (isListening) await closeServer(server);
  return isListening;
}
