import { RouterError, type RequestId } from '@acaciacrank/base';
import type { EngineFrame, GenerateRequest, OrderRequest } from '@acaciacrank/upstreams';
import type { Server, ServerResponse } from 'node:http';
import {
  createCloseSignal,
  readText,
  sendJson,
  createJsonServer,
} from '../_lib/createJsonServer/index.js';
import type { StandinEngine } from '../StandinEngine/index.js';

/**
 * Serves a fake engine over HTTP with server-sent events. `/records` returns what it did for each request.
 *
 * @param engine - the engine to serve
 * @returns a server that is not listening yet
 *
 * @example
 * createEngineServer(engine).listen(7101, '127.0.0.1');
 */
export function createEngineServer(engine: StandinEngine): Server {
  return createJsonServer(async (request, response, url) => {
    const [, , kind, id = '', detail] = url.pathname.split('/');
    const requestId = decodeURIComponent(id) as RequestId;
    if (url.pathname === '/v1/generate') {
      const generate = JSON.parse(await readText(request)) as GenerateRequest;
      engine.submit(generate);
      await sendFrames(response, engine.frames(generate.requestId, 0, createCloseSignal(response)));
    } else if (kind === 'streams' && detail === 'usage') {
      sendJson(response, 200, engine.records.get(requestId));
    } else if (kind === 'streams' && request.method === 'GET') {
      const offset = Number(url.searchParams.get('offset'));
      await sendFrames(response, engine.frames(requestId, offset, createCloseSignal(response)));
    } else if (kind === 'streams' && request.method === 'DELETE') {
      engine.cancel(requestId);
      sendJson(response, 200, {});
    } else if (url.pathname === '/v1/orders') {
      sendJson(
        response,
        200,
        engine.control.handleOrder(JSON.parse(await readText(request)) as OrderRequest),
      );
    } else if (url.pathname === '/v1/state') {
      sendJson(response, 200, engine.control.state());
    } else if (url.pathname === '/load') {
      sendJson(response, 200, engine.load());
    } else if (url.pathname === '/records') {
      sendJson(response, 200, [...engine.records.values()]);
    } else {
      throw new RouterError('notFound', `unknown path: ${url.pathname}`);
    }
  });
}

async function sendFrames(
  response: ServerResponse,
  frames: AsyncIterable<EngineFrame>,
): Promise<void> {
  for await (const frame of frames) {
    if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(`data: ${JSON.stringify(frame)}\n\n`);
  }
  response.end();
}
