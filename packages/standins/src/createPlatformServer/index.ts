import { RouterError } from '@acaciacrank/base';
import type { ListedInstance, WriteCondition, WriteResult } from '@acaciacrank/store';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { closedSignal, readText, sendJson, serveJson } from '../_lib/serveJson/index.js';
import type { MemoryPlatform } from '../MemoryPlatform/index.js';

/**
 * The platform stand-in over HTTP.
 *
 * @param platform - what it serves
 * @returns a server that does not listen yet
 *
 * @example
 * createPlatformServer(new MemoryPlatform(clock)).listen(7000, '127.0.0.1');
 */
export function createPlatformServer(platform: MemoryPlatform): Server {
  return serveJson(async (request, response, url) => {
    if (url.pathname.startsWith('/objects/')) {
      await answerObject(platform, request, response, url);
    } else if (url.pathname === '/objects') {
      sendJson(response, 200, platform.snapshot(url.searchParams.get('prefix') ?? ''));
    } else if (url.pathname === '/watch') {
      const query = url.searchParams;
      const since = Number(query.get('since'));
      const waitMs = Number(query.get('waitMs'));
      const signal = closedSignal(response);
      sendJson(
        response,
        200,
        await platform.watch(query.get('prefix') ?? '', since, waitMs, signal),
      );
    } else if (url.pathname === '/instances' && request.method === 'GET') {
      sendJson(response, 200, platform.instances());
    } else if (url.pathname === '/instances' && request.method === 'PUT') {
      platform.setInstance(JSON.parse(await readText(request)) as ListedInstance);
      sendJson(response, 200, {});
    } else if (url.pathname === '/calls') {
      sendJson(response, 200, platform.calls);
    } else {
      throw new RouterError('notFound', `there is nothing at ${url.pathname}`);
    }
  });
}

async function answerObject(
  platform: MemoryPlatform,
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
): Promise<void> {
  const key = url.pathname.slice('/objects/'.length).split('/').map(decodeURIComponent).join('/');
  if (request.method === 'PUT') {
    const value: unknown = JSON.parse(await readText(request));
    sendResult(response, platform.write(key, value, conditionOf(request)));
    return;
  }
  if (request.method === 'DELETE') {
    const condition = conditionOf(request);
    const version = condition.kind === 'version' ? condition.version : -1;
    sendResult(response, platform.remove(key, version));
    return;
  }
  const object = platform.read(key);
  if (object === undefined) sendJson(response, 404, { kind: 'notFound' });
  else sendJson(response, 200, object.value, { etag: `"${object.version}"` });
}

function conditionOf(request: IncomingMessage): WriteCondition {
  if (request.headers['if-none-match'] === '*') return { kind: 'absent' };
  const match = request.headers['if-match'];
  if (match === undefined) return { kind: 'none' };
  return { kind: 'version', version: Number(match.replaceAll('"', '')) };
}

function sendResult(response: ServerResponse, result: WriteResult): void {
  if (result.outcome === 'conflict') sendJson(response, 412, {});
  else sendJson(response, 200, {}, { etag: `"${result.version}"` });
}
