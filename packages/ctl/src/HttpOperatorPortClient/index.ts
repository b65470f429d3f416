import { RouterError, withTimeout, type Clock } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import { request } from 'undici';
import * as z from 'zod';
import { OperatorPortClient } from '../OperatorPortClient/index.js';
import type { InstanceAnswer } from '../types.js';

/** Options of {@link HttpOperatorPortClient}. */
export interface HttpOperatorPortClientOptions {
  clock: Clock;
  /** The key that operators authenticate with; undefined when none was given. */
  key: string | undefined;
  /** Timeout of a request to an instance, in milliseconds; 2,000 by default. */
  timeoutMs?: number;
}

const answerSchema = z.object({
  isAccepting: z.boolean(),
  openRequests: z.number(),
  configuration: z
    .object({ version: z.number(), digest: z.string(), sinceMs: z.number() })
    .nullable(),
  configurationProblem: z.object({ message: z.string() }).nullish(),
});

/** Calls the operators' ports of instances over HTTP, authenticated with the operators' key. */
export class HttpOperatorPortClient extends OperatorPortClient {
  readonly #options: HttpOperatorPortClientOptions;

  constructor(options: HttpOperatorPortClientOptions) {
    super();
    this.#options = options;
  }

  override status(entry: ListedInstance): Promise<InstanceAnswer> {
    return this.#ask(entry, 'GET', '/status');
  }

  override drain(entry: ListedInstance): Promise<InstanceAnswer> {
    return this.#ask(entry, 'POST', '/drain');
  }

  async #ask(entry: ListedInstance, method: 'GET' | 'POST', path: string): Promise<InstanceAnswer> {
    if (entry.operatorsUrl === undefined) {
      throw createUnavailableError(
        "the platform's list does not say where its operators' port is",
        'notRun',
      );
    }
    const { statusCode, text } = await this.#send(method, `${entry.operatorsUrl}${path}`);
    if (statusCode === 401)
      throw createUnavailableError("it rejected the operators' key", 'notRun');
    if (statusCode !== 200)
      throw createUnavailableError(`it answered with HTTP status ${statusCode}`, 'notRun');
    return parseAnswer(text);
  }

  async #send(method: 'GET' | 'POST', url: string) {
    const { clock, key, timeoutMs = 2_000 } = this.#options;
    if (key === undefined) {
      throw createUnavailableError(
        "no operators' key: use --key-file or ACACIACRANK_OPERATORS_KEY",
        'notRun',
      );
    }
    const send = async (signal: AbortSignal) => {
      const headers = { authorization: `Bearer ${key}` };
      const { statusCode, body } = await request(url, { method, headers, signal });
      return { statusCode, text: await body.text() };
    };
    try {
      const timeoutOptions = { kind: 'upstreamUnavailable', what: `${method} ${url}` } as const;
      return await withTimeout(clock, timeoutMs, send, timeoutOptions);
    } catch (error) {
      throw createUnavailableError(`it did not answer: ${(error as Error).message}`, 'unknown');
    }
  }
}

function createUnavailableError(message: string, ran: 'notRun' | 'unknown'): RouterError {
  return new RouterError('upstreamUnavailable', message, { ran });
}

function parseAnswer(text: string): InstanceAnswer {
  const parsed = answerSchema.safeParse(parseJson(text));
  if (!parsed.success) throw createUnavailableError('its answer is not a valid status', 'unknown');
  const { isAccepting, openRequests, configuration, configurationProblem } = parsed.data;
  return {
    isAccepting,
    openRequests,
    version: configuration?.version,
    digest: configuration?.digest,
    sinceMs: configuration?.sinceMs,
    problem: configurationProblem?.message,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
