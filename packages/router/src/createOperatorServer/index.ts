import {
  bytesInKibibyte,
  describeError,
  digestText,
  millisecondsInSecond,
  RouterError,
  type Clock,
  type Metrics,
} from '@acaciacrank/base';
import { timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { InstanceStatus } from '../describeInstance/index.js';
import { formatMetrics, type Gauge } from '@acaciacrank/base';
import { formatStatusPage } from '../formatStatusPage/index.js';

/** Options of {@link createOperatorServer}. */
export interface CreateOperatorServerOptions {
  clock: Clock;
  metrics: Metrics;
  status: () => InstanceStatus;
  /** SHA-256 of the operators' key, in hexadecimal. */
  keyDigest: string;
  /** Begins a planned stop. */
  onDrain: () => void;
}

/** Bounds of the port: it serves a few people and a scraper. */
const bounds = {
  connections: 64,
  headers: 64,
  headerBytes: 8 * bytesInKibibyte,
  bodyBytes: 4 * bytesInKibibyte,
  headersMs: 5 * millisecondsInSecond,
  requestMs: 10 * millisecondsInSecond,
} as const;

interface Answer {
  readonly type: string;
  readonly body: string;
}

/**
 * The server on the operators' port: a status page at `/`, the same as JSON at `/status`, figures at
 * `/metrics`, and `POST /drain` for a planned stop. All of it only with the operators' key.
 *
 * @param options - what it tells about
 * @returns a server that does not listen yet
 *
 * @example
 * createOperatorServer(options).listen(9090, '10.0.0.5');
 */
export function createOperatorServer(options: CreateOperatorServerOptions): Server {
  const server = createServer({ maxHeaderSize: bounds.headerBytes }, (request, response) => {
    boundBody(request);
    try {
      checkKey(options, request);
      write(response, 200, answer(options, request));
    } catch (thrown) {
      writeError(response, thrown);
    }
  });
  server.maxConnections = bounds.connections;
  server.maxHeadersCount = bounds.headers;
  server.headersTimeout = bounds.headersMs;
  server.requestTimeout = bounds.requestMs;
  return server;
}

/** No request here has a use for a body: one that is sent is read away, up to a bound. */
function boundBody(request: IncomingMessage): void {
  let bytes = 0;
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > bounds.bodyBytes) request.destroy();
  });
}

/**
 * Both sides are digests of equal length and compared in constant time, so that the time taken says
 * nothing of how much of a guessed key was right.
 */
function checkKey({ keyDigest, metrics }: CreateOperatorServerOptions, request: IncomingMessage) {
  const given = Buffer.from(digestText(keyOf(request)), 'hex');
  if (timingSafeEqual(given, Buffer.from(keyDigest, 'hex'))) return;
  metrics.count('operatorKeysRefused');
  throw new RouterError('unauthenticated', "the operators' key is wrong");
}

/**
 * The key as a bearer token, or as the password that a browser asks for.
 *
 * A browser sends its password along with requests that other pages make it send. So it opens what
 * only reads; what acts takes the bearer token alone.
 */
function keyOf(request: IncomingMessage): string {
  const header = request.headers.authorization ?? '';
  const bearer = /^Bearer (.+)$/.exec(header)?.[1];
  if (bearer !== undefined || request.method !== 'GET') return bearer ?? '';
  const basic = /^Basic (.+)$/.exec(header)?.[1] ?? '';
  const decoded = Buffer.from(basic, 'base64').toString('utf8');
  return decoded.slice(decoded.indexOf(':') + 1);
}

function answer(options: CreateOperatorServerOptions, request: IncomingMessage): Answer {
  const { clock, metrics, status, onDrain } = options;
  const json = () => ({ type: 'application/json', body: JSON.stringify(status()) });
  switch (`${request.method ?? ''} ${request.url ?? ''}`) {
    case 'GET /':
      return {
        type: 'text/html; charset=utf-8',
        body: formatStatusPage(status(), { nowMs: clock.wallMs() }),
      };
    case 'GET /status':
      return json();
    case 'GET /metrics':
      return {
        type: 'text/plain; version=0.0.4; charset=utf-8',
        body: formatMetrics(metrics, gaugesOf(status())),
      };
    case 'POST /drain':
      onDrain();
      return json();
    default:
      throw new RouterError('notFound', 'there are GET / /status /metrics and POST /drain');
  }
}

function gaugesOf(status: InstanceStatus): Gauge[] {
  const states = ['listed', 'starting', 'live', 'suspect', 'leaving', 'left', 'dead'] as const;
  return [
    { name: 'accepting', value: status.isAccepting ? 1 : 0 },
    { name: 'open_requests', value: status.openRequests },
    { name: 'configuration_version', value: status.configuration?.version ?? 0 },
    ...states.map((state) => ({
      name: 'members',
      labels: { state },
      value: status.members.filter((member) => member.state === state).length,
    })),
  ];
}

function write(response: ServerResponse, status: number, { type, body }: Answer): void {
  response.writeHead(status, {
    'content-type': type,
    'cache-control': 'no-store',
    'content-security-policy': "default-src 'none'; style-src 'unsafe-inline'",
    'x-content-type-options': 'nosniff',
  });
  response.end(body);
}

function writeError(response: ServerResponse, thrown: unknown): void {
  const { kind, message, remedy, httpStatus } = describeError(thrown);
  if (kind === 'unauthenticated') {
    response.setHeader('www-authenticate', 'Basic realm="acaciacrank operators"');
  }
  const body = JSON.stringify({ error: { kind, message, remedy } });
  write(response, httpStatus, { type: 'application/json', body });
}
