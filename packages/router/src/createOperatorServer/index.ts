import {
  bytesInKibibyte,
  bytesInMebibyte,
  ClientConnections,
  createBoundedServer,
  toRouterError,
  digestText,
  millisecondsInSecond,
  RouterError,
  type ClientCloseReason,
  type ClientLimits,
  type Clock,
  type FeatureId,
  type Metrics,
} from '@acaciacrank/base';
import { planClientLimits } from '@acaciacrank/routing';
import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
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
  /** Starts a planned stop. */
  onDrain: () => void;
  /** Lifts the blame of a feature of requests at all instances; returns how many blames that lifts. */
  onLift: (feature: FeatureId) => number;
  /** What clients may hold at this port; by default as on a machine with 256 MiB of memory. */
  limits?: ClientLimits;
  /** Called for each connection that is closed past a limit. */
  onClosed?: (reason: ClientCloseReason) => void;
}

/** Limits of the port, which serves a few operators and a metrics scraper. */
const bounds = {
  headers: 64,
  headerBytes: 8 * bytesInKibibyte,
  bodyBytes: 4 * bytesInKibibyte,
  headersMs: 5 * millisecondsInSecond,
  requestMs: 10 * millisecondsInSecond,
} as const;

const defaultLimits = planClientLimits({
  memoryBytes: 256 * bytesInMebibyte,
  descriptors: 4_096,
}).status;

function ignore(): void {
  return undefined;
}

/** The request that lifts the blame of a feature. */
const liftPath = /^POST \/lift\/([^/?]{1,256})$/;

interface ResponseContent {
  readonly type: string;
  readonly body: string;
}

/**
 * Creates the server for the operators' port: the status page at `/`, the same as JSON at `/status`,
 * metrics at `/metrics`, `POST /drain` for a planned stop, and `POST /lift/FEATURE` to send requests again that are
 * refused since upstreams ended under others like them. All requests require the operators' key.
 *
 * @param options - the sources of status and metrics
 * @returns a server that is not listening yet
 *
 * @example
 * createOperatorServer(options).listen(9090, '10.0.0.5');
 */
export function createOperatorServer(options: CreateOperatorServerOptions): Server {
  const settings = {
    connections: new ClientConnections({ limits: defaultLimits, onClosed: ignore, ...options }),
    server: { maxHeaderSize: bounds.headerBytes },
  };
  const server = createBoundedServer(settings, (request, response) => {
    limitBody(request);
    try {
      checkKey(options, request);
      write(response, 200, answer(options, request));
    } catch (thrown) {
      writeError(response, thrown);
    }
  });
  server.maxHeadersCount = bounds.headers;
  server.headersTimeout = bounds.headersMs;
  server.requestTimeout = bounds.requestMs;
  return server;
}

/** No request needs a body: one that is sent is read and discarded up to a limit. */
function limitBody(request: IncomingMessage): void {
  let bytes = 0;
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > bounds.bodyBytes) request.destroy();
  });
}

/**
 * Compares digests of equal length in constant time, so that the response time does not reveal how
 * much of a guessed key is correct.
 */
function checkKey({ keyDigest, metrics }: CreateOperatorServerOptions, request: IncomingMessage) {
  const requestKeyDigest = Buffer.from(digestText(keyOf(request)), 'hex');
  if (timingSafeEqual(requestKeyDigest, Buffer.from(keyDigest, 'hex'))) return;
  metrics.count('operatorKeysRefused');
  throw new RouterError('unauthenticated', "invalid operators' key");
}

/**
 * Returns the key from the bearer token, or for a GET request from the basic authentication password.
 *
 * A browser also adds the password to requests triggered by other sites (CSRF). Requests with an
 * effect therefore require the bearer token.
 */
function keyOf(request: IncomingMessage): string {
  const header = request.headers.authorization ?? '';
  const bearer = /^Bearer (.+)$/.exec(header)?.[1];
  if (bearer !== undefined || request.method !== 'GET') return bearer ?? '';
  const basic = /^Basic (.+)$/.exec(header)?.[1] ?? '';
  const decoded = Buffer.from(basic, 'base64').toString('utf8');
  return decoded.slice(decoded.indexOf(':') + 1);
}

function answer(options: CreateOperatorServerOptions, request: IncomingMessage): ResponseContent {
  const { clock, metrics, status, onDrain } = options;
  const json = () => ({ type: 'application/json', body: JSON.stringify(status()) });
  const lifted = liftPath.exec(`${request.method ?? ''} ${request.url ?? ''}`)?.[1];
  if (lifted !== undefined) {
    const blames = options.onLift(decodeURIComponent(lifted) as FeatureId);
    return { type: 'application/json', body: JSON.stringify({ lifted: blames }) };
  }
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
        body: formatMetrics(metrics, statusGauges(status())),
      };
    case 'POST /drain':
      onDrain();
      return json();
    default:
      throw new RouterError(
        'notFound',
        'not found; available are GET /, GET /status, GET /metrics, POST /drain and POST /lift/FEATURE',
      );
  }
}

function statusGauges(status: InstanceStatus): Gauge[] {
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

function write(response: ServerResponse, status: number, { type, body }: ResponseContent): void {
  response.writeHead(status, {
    'content-type': type,
    'cache-control': 'no-store',
    'content-security-policy': "default-src 'none'; style-src 'unsafe-inline'",
    'x-content-type-options': 'nosniff',
  });
  response.end(body);
}

function writeError(response: ServerResponse, thrown: unknown): void {
  const { kind, message, remedy, httpStatus } = toRouterError(thrown);
  if (kind === 'unauthenticated') {
    response.setHeader('www-authenticate', 'Basic realm="acaciacrank operators"');
  }
  const body = JSON.stringify({ error: { kind, message, remedy } });
  write(response, httpStatus, { type: 'application/json', body });
}
