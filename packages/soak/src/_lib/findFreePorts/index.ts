import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import { threadId } from 'node:worker_threads';
import { closeServer } from '../listenOnLoopback/index.js';

/** Ports for instances: one range per soak process and test file, chosen by the ids of process and thread modulo 100. */
const portRanges = { firstPort: 20_000, portsPerRange: 120, rangeCount: 100 } as const;

/**
 * Finds ports that no process listens on, for all instances at once.
 *
 * Guards against ports that are assigned twice, in which case an instance never becomes ready: the ports
 * of an instance look free until it listens, and again while it is down after a kill. Therefore one call
 * serves all instances of a soak, each soak has its own range, also where several run as threads of one process, and the ranges lie below the ephemeral
 * ports that the system assigns to connections.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  const range = (process.pid + threadId) % portRanges.rangeCount;
  const firstPort = portRanges.firstPort + range * portRanges.portsPerRange;
  while (found.length < count) {
    const port = randomInt(firstPort, firstPort + portRanges.portsPerRange);
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
