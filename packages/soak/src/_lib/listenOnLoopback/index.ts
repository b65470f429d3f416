import type { AddressInfo, Server } from 'node:net';

/**
 * Makes a server listen on the loopback address at a port that the system chooses.
 *
 * @returns the port
 * @throws the error of the server if it cannot listen
 */
export async function listenOnLoopback(server: Server): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Closes a server; resolves once it has stopped listening and its connections have ended. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
