/**
 * What the stand-ins' small HTTP servers share.
 */
import { toRouterError } from '@acaciacrank/base';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** Answers one request; what it throws is answered by its kind. */
export type Route = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void>;

/** Makes a server around one route function. */
export function serveJson(route: Route): Server {
  return createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://standin');
    route(request, response, url).catch((thrown: unknown) => {
      const error = toRouterError(thrown);
      if (response.headersSent) response.destroy();
      else sendJson(response, error.httpStatus, { kind: error.kind, message: error.message });
    });
  });
}

/** Writes a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(body === undefined ? '' : JSON.stringify(body));
}

/** Reads a whole body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Aborted when the connection of an answer closes. */
export function closedSignal(response: ServerResponse): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    abort.abort();
  });
  return abort.signal;
}
