import type { AddressInfo, Server } from 'node:net';

/**
 * Lets a server listen on loopback at a port that the system chooses.
 *
 * @returns the port
 * @throws the server's error
 */
export async function listenOnLoopback(server: Server): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Ends a server; resolves when it listens no more and its connections have ended. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
