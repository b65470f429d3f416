import { accounts, host } from '../buildSoakConfiguration/index.js';
import type { Flood } from '../FloodingClients/index.js';
import type { InstancePorts } from '../InstanceProcess/index.js';

/** A flood and the port that it is for. */
export interface SoakFlood extends Flood {
  readonly port: keyof InstancePorts;
}

const connections = 20;
const key = `Authorization: Bearer ${accounts[0]?.key ?? ''}\r\n`;
const bodyHead = `POST /read/x HTTP/1.1\r\nHost: ${host}\r\n${key}Transfer-Encoding: chunked\r\n\r\n`;
const readyHead = 'GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n';
const routeHead = `GET /read/x HTTP/1.1\r\nHost: ${host}\r\n\r\n`;

/** What clients that keep no limit send beside the others; none of it reaches an upstream. */
export const soakFloods: readonly SoakFlood[] = [
  { name: 'chunks', port: 'front', start: bodyHead, repeated: '1\r\nx\r\n', times: 5_000 },
  { name: 'routes', port: 'front', start: '', repeated: routeHead, times: 2_000 },
  { name: 'no host', port: 'front', start: '', repeated: 'GET / HTTP/1.1\r\n\r\n', times: 4_000 },
  { name: 'heads', port: 'front', start: 'GET /', repeated: 'x', times: 16_000 },
  { name: 'ready', port: 'ready', start: '', repeated: readyHead, times: 2_000 },
  { name: 'directory', port: 'directory', start: '', repeated: readyHead, times: 2_000 },
  { name: 'links', port: 'fleet', start: '', repeated: readyHead, times: 2_000 },
].map((flood) => ({ ...flood, connections, port: flood.port as keyof InstancePorts }));
