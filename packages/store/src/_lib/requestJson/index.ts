/**
 * One JSON call to the platform, with a bound on its time.
 */
import { RouterError, withTimeout, type Clock } from '@acaciacrank/base';
import { request, type Dispatcher } from 'undici';

/** One call to make. */
export interface JsonCall {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** What came back. */
export interface JsonAnswer {
  readonly status: number;
  readonly etag: string | undefined;
  readonly body: unknown;
}

/**
 * Makes the call.
 *
 * A connection that went silent for good never answers and never fails; the bound on time is what
 * finds it, and `reset` drops the connection so that the next call opens a new one.
 *
 * @throws RouterError `storeUnavailable`
 */
export async function requestJson(
  clock: Clock,
  dispatcher: Dispatcher,
  call: JsonCall,
): Promise<JsonAnswer> {
  return withTimeout(clock, call.timeoutMs, (signal) => send(dispatcher, call, signal), {
    kind: 'storeUnavailable',
    what: `${call.method} ${new URL(call.url).pathname}`,
    ...(call.signal === undefined ? {} : { signal: call.signal }),
  });
}

async function send(
  dispatcher: Dispatcher,
  call: JsonCall,
  signal: AbortSignal,
): Promise<JsonAnswer> {
  try {
    const answer = await request(call.url, {
      dispatcher,
      method: call.method,
      signal,
      headers: { 'content-type': 'application/json', ...call.headers },
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
    });
    const text = await answer.body.text();
    if (answer.statusCode === 429 || answer.statusCode >= 500) {
      throw new RouterError('storeUnavailable', `the platform answered ${answer.statusCode}`);
    }
    const etag = answer.headers.etag;
    return {
      status: answer.statusCode,
      etag: typeof etag === 'string' ? etag : undefined,
      body: text === '' ? undefined : (JSON.parse(text) as unknown),
    };
  } catch (error) {
    if (error instanceof RouterError) throw error;
    throw new RouterError('storeUnavailable', 'the platform did not answer', {
      cause: error as Error,
    });
  }
}
