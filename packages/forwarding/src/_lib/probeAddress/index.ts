import { connect } from 'node:net';

/** What became of an attempt to connect: `silent` if nothing came back in time. */
export type ProbeOutcome = 'accepted' | 'refused' | 'silent';

/**
 * Opens a connection and closes it again at once, to learn whether anything listens at an address.
 *
 * @param address - `IP:PORT`
 * @param timeoutMs - how long to wait, in milliseconds
 *
 * @example
 * await probeAddress('127.0.0.1:9', 300);
 * //=> 'refused'
 */
export function probeAddress(address: string, timeoutMs: number): Promise<ProbeOutcome> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (outcome: ProbeOutcome) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(finish, timeoutMs, 'silent');
    socket.once('connect', () => {
      finish('accepted');
    });
    socket.once('error', () => {
      finish('refused');
    });
  });
}
