import type { RequestId } from '@acaciacrank/base';
import type { Server } from 'node:http';
import { readText, sendJson, createJsonServer } from '../_lib/createJsonServer/index.js';
import type { StandinService } from '../StandinService/index.js';

/**
 * Serves a fake plain service over HTTP. `/records` returns the calls that it executed.
 *
 * @param service - the service to serve
 * @returns a server that is not listening yet
 *
 * @example
 * createServiceServer(service).listen(7201, '127.0.0.1');
 */
export function createServiceServer(service: StandinService): Server {
  return createJsonServer(async (request, response, url) => {
    if (url.pathname === '/load') {
      sendJson(response, 200, service.load());
      return;
    }
    if (url.pathname === '/records') {
      sendJson(response, 200, service.runs);
      return;
    }
    const serviceResponse = await service.call({
      requestId: String(request.headers['x-request-id']) as RequestId,
      method: request.method ?? 'GET',
      path: `${url.pathname}${url.search}`,
      headers: {},
      body: Buffer.from(await readText(request)),
    });
    response.writeHead(serviceResponse.status, serviceResponse.headers);
    response.end(serviceResponse.body);
  });
}
