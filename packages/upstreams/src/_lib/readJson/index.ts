/**
 * Reads a small JSON response of an upstream within a time limit.
 */
import { RouterError, withTimeout, type Clock } from '@acaciacrank/base';
import { request } from 'undici';
import type { ConnectionPool } from '../ConnectionPool/index.js';
import { readText } from '../readText/index.js';

/** Timeout of requests other than generations and service calls, in milliseconds. */
export const controlRequestTimeoutMs = 5_000;

/**
 * Reads one JSON response, headers and body, within {@link controlRequestTimeoutMs}.
 *
 * Guards against a poll that hangs forever on a dead connection: on a failure the pool is replaced,
 * so that the next poll opens a new connection.
 *
 * @throws RouterError `upstreamUnavailable` if there is no complete response with status 200 in
 * time
 */
export async function readJson(clock: Clock, pool: ConnectionPool, url: string): Promise<unknown> {
  const read = async (signal: AbortSignal) => {
    const answer = await request(url, { dispatcher: pool.dispatcher, signal });
    if (answer.statusCode === 200) return JSON.parse(await readText(answer.body)) as unknown;
    await answer.body.dump();
    throw new RouterError('upstreamUnavailable', `${url} answered ${answer.statusCode}`);
  };
  try {
    return await withTimeout(clock, controlRequestTimeoutMs, read, {
      kind: 'upstreamUnavailable',
      what: url,
    });
  } catch (error) {
    pool.retire();
    if (error instanceof RouterError) throw error;
    throw new RouterError('upstreamUnavailable', `${url} cannot be read`, {
      cause: error as Error,
    });
  }
}
