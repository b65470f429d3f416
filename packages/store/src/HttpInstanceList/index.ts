import { RouterError, type Clock } from '@acaciacrank/base';
import { Agent } from 'undici';
import { z } from 'zod';
import { InstanceList } from '../InstanceList/index.js';
import { requestJson } from '../_lib/requestJson/index.js';
import type { ListedInstance } from '../types.js';

/** Options of {@link HttpInstanceList}. */
export interface HttpInstanceListOptions {
  /** `http://IP:PORT` of the platform. */
  url: string;
  clock: Clock;
  /** How long a call may take, in milliseconds. */
  timeoutMs?: number;
}

const listSchema = z.array(
  z.object({
    id: z.string(),
    role: z.enum(['entry', 'engine', 'service']),
    service: z.string().optional(),
    url: z.string(),
    fleetUrl: z.string().optional(),
    operatorsUrl: z.string().optional(),
    environment: z.string().optional(),
    failureDomain: z.string(),
    state: z.enum(['live', 'leaving']),
  }),
);

/** The platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList implements AsyncDisposable {
  readonly #agent = new Agent({ connections: 2 });
  readonly #options: HttpInstanceListOptions;

  constructor(options: HttpInstanceListOptions) {
    super();
    this.#options = options;
  }

  override async read(): Promise<readonly ListedInstance[]> {
    const answer = await requestJson(this.#options.clock, this.#agent, {
      method: 'GET',
      url: `${this.#options.url}/instances`,
      timeoutMs: this.#options.timeoutMs ?? 3_000,
    });
    const parsed = listSchema.safeParse(answer.body);
    if (parsed.success) return parsed.data as unknown as ListedInstance[];
    throw new RouterError('storeUnavailable', 'the instance list does not parse', {
      cause: parsed.error,
    });
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#agent.destroy();
  }
}
