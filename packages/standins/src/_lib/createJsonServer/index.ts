/**
 * Helpers of the stand-ins' HTTP servers.
 */
import { toRouterError } from '@acaciacrank/base';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** Handles one request; a thrown error becomes a JSON response with the error's HTTP status. */
export type Route = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void>;

/** Creates an HTTP server, not yet listening, that passes every request to the route. */
export function createJsonServer(route: Route): Server {
  return createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://standin');
    route(request, response, url).catch((thrown: unknown) => {
      const error = toRouterError(thrown);
      if (response.headersSent) response.destroy();
      else sendJson(response, error.httpStatus, { kind: error.kind, message: error.message });
    });
  });
}

/** Sends a JSON response; an undefined body is sent as an empty one. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(body === undefined ? '' : JSON.stringify(body));
}

/** Reads the whole request body as UTF-8 text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Creates a signal that aborts when the connection of a response closes. */
export function createCloseSignal(response: ServerResponse): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    abort.abort();
  });
  return abort.signal;
}
