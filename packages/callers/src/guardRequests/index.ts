import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';

/** Handles one request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/**
 * Creates the listener of an HTTP server.
 *
 * Guards against one request that ends the process: what its handler throws, now or later, ends its connection only.
 *
 * @param handle - handles one request
 * @param onFailure - called with what it throws
 *
 * @example
 * createServer(guardRequests(handle, (error) => log.error({ err: error }, 'request handler failed')));
 */
export function guardRequests(
  handle: RequestHandler,
  onFailure: (thrown: unknown) => void,
): RequestListener {
  return (request, response) => {
    // A write that races with the disconnect of the other end fails here; its close event ends the request.
    response.on('error', () => undefined);
    const fail = (thrown: unknown) => {
      onFailure(thrown);
      if (response.headersSent) response.destroy();
      else response.writeHead(500, { connection: 'close', 'content-length': 0 }).end();
    };
    try {
      Promise.resolve(handle(request, response)).catch(fail);
    } catch (thrown) {
      fail(thrown);
    }
  };
}
