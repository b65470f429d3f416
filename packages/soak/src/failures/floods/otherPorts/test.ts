/**
 * Crowds of clients that keep no limit, at the ports that are not for requests.
 */
import test from 'ava';
import type { Flood } from '../../../_lib/FloodingClients/index.js';
import type { InstancePorts } from '../../../_lib/InstanceProcess/index.js';
import { checkFloodOutcome } from '../../../_lib/checkFloodOutcome/index.js';
import { playFlood } from '../../../_lib/playFlood/index.js';

const machine = { memoryMb: 160, maxFds: 512 };
const connections = 100;

type PortName = keyof InstancePorts;

const paths = { ready: '/readiness', directory: '/resolution?name=x', fleet: '/' } as const;

function floodsAt(path: string): readonly Flood[] {
  const bodyHead = `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
  return [
    {
      name: 'requests ahead',
      start: '',
      repeated: `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`,
      times: 30_000,
    },
    {
      name: 'requests ahead without a host',
      start: '',
      repeated: `GET ${path} HTTP/1.1\r\n\r\n`,
      times: 30_000,
    },
    {
      name: 'chunks of one byte without an end',
      start: bodyHead,
      repeated: '1\r\nx\r\n',
      times: 24_000,
    },
    { name: 'heads without an end', start: 'GET /', repeated: 'x', times: 16_000 },
  ].map((flood) => ({ ...flood, connections }));
}

// Guards against strangers that stop an instance through a port that is not for them.
for (const [port, path] of Object.entries(paths) as [PortName, string][]) {
  for (const flood of floodsAt(path)) {
    test.serial(`an instance bears ${flood.name} at its ${port} port`, async (t) => {
      const outcome = await playFlood(port, flood, machine);
      checkFloodOutcome(t, outcome, machine);
    });
  }

  test.serial(`an instance bears connections that send nothing at its ${port} port`, async (t) => {
    const idle = { name: 'connections', connections: 600, start: '', repeated: '', times: 0 };
    const outcome = await playFlood(port, idle, machine);
    checkFloodOutcome(t, outcome, machine);
  });
}
