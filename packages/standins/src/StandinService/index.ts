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
  readonly #options: Required<StandinServiceOptions>;
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

  /** Executes one call. It counts as executed at the start, before the simulated duration. */
  async call(request: ServiceRequest): Promise<ServiceResponse> {
    if (this.#state === 'leaving') {
      throw new RouterError('upstreamUnavailable', `${this.id} is leaving`);
    }
    if (this.failureMode === 'failing') {
      throw new RouterError('upstreamUnavailable', `${this.id} simulates failure of every call`);
    }
    const { requestId, method, path } = request;
    const atMs = this.#options.clock.monotonicMs();
    const body = Buffer.from(request.body).toString('utf8');
    this.runs.push({ requestId, method, path, body, atMs });
    if (this.failureMode === 'mute') return new Promise<never>(() => undefined);
    this.#running += 1;
    await this.#options.clock.sleep(this.#options.callMs * this.slowFactor);
    this.#running -= 1;
    const responseText = JSON.stringify({ service: this.id, method, path, run: this.runs.length });
    return {
      status: method === 'POST' ? 201 : 200,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(responseText),
    };
  }

  load(): LoadReport {
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
