import { RouterError, type Clock, type RequestId, type UpstreamId } from '@acaciacrank/base';
import type { LoadReport, ServiceResponse, ServiceRequest } from '@acaciacrank/upstreams';

/** Options of {@link StandinService}. */
export interface StandinServiceOptions {
  id: UpstreamId;
  clock: Clock;
  /** Duration of a call, in milliseconds. */
  callMs?: number;
}

/** One call that was executed; tests compare it with what callers received. */
export interface ServiceRun {
  readonly requestId: RequestId;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** When the call was executed, in milliseconds of the monotonic clock. */
  readonly atMs: number;
}

/** Fake plain HTTP service: records every call and responds with a JSON document. */
export class StandinService {
  readonly runs: ServiceRun[] = [];
  /** Number of times that it has ended under a deadly call. */
  ends = 0;
  readonly #options: Required<StandinServiceOptions>;
  readonly #open = new Set<(error: RouterError) => void>();
  #deadly = { text: '', downMs: 0 };
  #downUntilMs = -Infinity;
  #running = 0;
  #state: 'live' | 'leaving' = 'live';
  /** Factor by which calls are slowed down. */
  slowFactor = 1;
  /** Simulated failure: `failing` rejects every call without executing it; `mute` executes it but never responds. */
  failureMode: 'none' | 'failing' | 'mute' = 'none';

  constructor(options: StandinServiceOptions) {
    this.#options = { callMs: 10, ...options };
  }

  get id(): UpstreamId {
    return this.#options.id;
  }

  /** Rejects new calls from now on. */
  leave(): void {
    this.#state = 'leaving';
  }

  /** Ends from now on under each call whose path or body contains a text, and is down for a while each time. */
  endUnder(text: string, downMs: number): void {
    this.#deadly = { text, downMs };
  }

  /** Executes one call. It counts as executed at the start, before the simulated duration. */
  async call(request: ServiceRequest): Promise<ServiceResponse> {
    if (this.#state === 'leaving') {
      throw new RouterError('upstreamUnavailable', `${this.id} is leaving`);
    }
    if (this.failureMode === 'failing') {
      throw new RouterError('upstreamUnavailable', `${this.id} simulates failure of every call`);
    }
    this.#checkUp();
    const { requestId, method, path } = request;
    const atMs = this.#options.clock.monotonicMs();
    const body = Buffer.from(request.body).toString('utf8');
    this.runs.push({ requestId, method, path, body, atMs });
    if (this.#isDeadly(path, body)) return this.#end();
    if (this.failureMode === 'mute') return new Promise<never>(() => undefined);
    this.#running += 1;
    await this.#runUnlessEnded();
    this.#running -= 1;
    const responseText = JSON.stringify({ service: this.id, method, path, run: this.runs.length });
    return {
      status: method === 'POST' ? 201 : 200,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(responseText),
    };
  }

  #isDeadly(path: string, body: string): boolean {
    const { text } = this.#deadly;
    return text !== '' && (path.includes(text) || body.includes(text));
  }

  #checkUp(): void {
    if (this.#options.clock.monotonicMs() >= this.#downUntilMs) return;
    throw new RouterError('upstreamUnavailable', `${this.id} is down`);
  }

  /** All connections break, and new ones are refused until it has started again. */
  #end(): never {
    this.ends += 1;
    this.#downUntilMs = this.#options.clock.monotonicMs() + this.#deadly.downMs;
    const error = new RouterError('outcomeUnknown', `${this.id} has ended`);
    for (const fail of [...this.#open]) fail(error);
    throw error;
  }

  async #runUnlessEnded(): Promise<void> {
    const { clock, callMs } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#open.add(reject);
      void clock.sleep(callMs * this.slowFactor).then(() => {
        this.#open.delete(reject);
        resolve();
      });
    });
  }

  load(): LoadReport {
    this.#checkUp();
    return {
      upstreamId: this.id,
      state: this.#state,
      runningRequests: this.#running,
      waitingRequests: 0,
      maxRunningRequests: 64,
      measuredAtMs: this.#options.clock.wallMs(),
    };
  }
}
