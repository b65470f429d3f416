import { bytesInMebibyte, RouterError, type Clock } from '@acaciacrank/base';
import { request, type Dispatcher } from 'undici';
import { ServiceClient } from '../ServiceClient/index.js';
import { ConnectionPool } from '../_lib/ConnectionPool/index.js';
import { loadReportSchema } from '../_lib/loadReportSchema/index.js';
import { checkRequestId, requestIdHeader } from '../_lib/checkRequestId/index.js';
import { isConnectFailure } from '../_lib/isConnectFailure/index.js';
import { readJson } from '../_lib/readJson/index.js';
import type { LoadReport, ServiceResponse, ServiceRequest } from '../types.js';

/** Options of {@link HttpServiceClient}. */
export interface HttpServiceClientOptions {
  /** `http://IP:PORT` of the service. */
  url: string;
  clock: Clock;
  /** Largest response body, in bytes. */
  maxAnswerBytes?: number;
}

const maxConnections = 64;

/** Client for a plain service over HTTP. */
export class HttpServiceClient extends ServiceClient implements AsyncDisposable {
  readonly #pool: ConnectionPool;
  readonly #options: Required<HttpServiceClientOptions>;

  constructor(options: HttpServiceClientOptions) {
    super();
    this.#options = { maxAnswerBytes: 8 * bytesInMebibyte, ...options };
    this.#pool = new ConnectionPool({ clock: options.clock, connections: maxConnections });
  }

  override async call(
    serviceRequest: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    try {
      const answer = await this.#send(serviceRequest, signal);
      checkRequestId(answer, serviceRequest.requestId, 'outcomeUnknown');
      return {
        status: answer.statusCode,
        headers: definedHeaders(answer),
        body: await this.#readBody(answer),
      };
    } catch (error) {
      // The call may have failed, or been aborted, because its connection is dead, and then all
      // connections of the pool may be dead.
      this.#pool.retire();
      throw toServiceError(error as Error);
    }
  }

  override async readLoad(): Promise<LoadReport> {
    const report = await readJson(this.#options.clock, this.#pool, `${this.#options.url}/load`);
    return loadReportSchema.parse(report) as LoadReport;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#pool[Symbol.asyncDispose]();
  }

  #send(serviceRequest: ServiceRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const hasBody = serviceRequest.body.byteLength > 0;
    return request(`${this.#options.url}${serviceRequest.path}`, {
      dispatcher: this.#pool.dispatcher,
      method: serviceRequest.method as 'GET',
      signal,
      headers: { ...serviceRequest.headers, [requestIdHeader]: serviceRequest.requestId },
      ...(hasBody ? { body: serviceRequest.body } : {}),
    });
  }

  /**
   * Reads at most `maxAnswerBytes`; the connection's backpressure stops the service from sending
   * more.
   */
  async #readBody(answer: Dispatcher.ResponseData): Promise<Uint8Array> {
    const { maxAnswerBytes } = this.#options;
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
      bytes += chunk.byteLength;
      if (bytes > maxAnswerBytes) {
        const message = `the service's response has more than ${maxAnswerBytes} bytes`;
        throw new RouterError('upstreamFailed', message, { ran: 'ran' });
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }
}

function definedHeaders(answer: Dispatcher.ResponseData): ServiceResponse['headers'] {
  const headers = Object.entries(answer.headers).filter(
    (entry): entry is [string, string | string[]] => entry[1] !== undefined,
  );
  return Object.fromEntries(headers);
}

function toServiceError(error: Error): RouterError {
  if (error instanceof RouterError) return error;
  if (isConnectFailure(error)) {
    return new RouterError('upstreamUnavailable', 'the service cannot be reached', {
      cause: error,
    });
  }
  return new RouterError('outcomeUnknown', 'the connection to the service broke', { cause: error });
}
