import type { Clock } from '@acaciacrank/base';
import { connect } from 'node:net';

/** What became of an attempt to connect: `silent` if nothing returned in time. */
export type ProbeOutcome = 'accepted' | 'refused' | 'silent';

/** Time for which a new connection has to stay open, in milliseconds. */
const settleMs = 20;

/**
 * Opens a connection and closes it again, to learn whether anything listens at an address.
 *
 * Guards against a process that is just ending: its connections are reset before its listening socket is closed,
 * which may still take a connection. One that is closed at once is therefore tried again.
 *
 * @param clock - measures the time; a pause of this process does not count
 * @param address - `IP:PORT`
 * @param timeoutMs - how long to wait for a connection, in milliseconds
 *
 * @example
 * await probeAddress(clock, '127.0.0.1:9', 300);
 * //=> 'refused'
 */
export async function probeAddress(
  clock: Clock,
  address: string,
  timeoutMs: number,
): Promise<ProbeOutcome> {
  const outcome = await openConnection(clock, address, timeoutMs);
  if (outcome !== 'closed') return outcome;
  const next = await openConnection(clock, address, timeoutMs);
  return next === 'closed' ? 'accepted' : next;
}

function openConnection(
  clock: Clock,
  address: string,
  timeoutMs: number,
): Promise<ProbeOutcome | 'closed'> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    let isConnected = false;
    const finish = (outcome: ProbeOutcome | 'closed') => {
      timer[Symbol.dispose]();
      socket.destroy();
      resolve(outcome);
    };
    let timer = clock.scheduleActive(timeoutMs, () => {
      finish('silent');
    });
    socket.once('connect', () => {
      isConnected = true;
      timer[Symbol.dispose]();
      timer = clock.scheduleActive(settleMs, () => {
        finish('accepted');
      });
    });
    socket.once('error', () => {
      finish(isConnected ? 'closed' : 'refused');
    });
    socket.once('end', () => {
      finish('closed');
    });
    socket.resume();
  });
}
