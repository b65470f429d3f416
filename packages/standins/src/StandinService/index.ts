import { RouterError, type Clock, type RequestId, type UpstreamId } from '@acaciacrank/base';
import type { LoadReport, ServiceResponse, ServiceRequest } from '@acaciacrank/upstreams';

/** Options of {@link StandinService}. */
export interface StandinServiceOptions {
  id: UpstreamId;
  clock: Clock;
  /** How long a call takes, in milliseconds. */
  callMs?: number;
}

/** One call that truly ran; proofs read it. */
export interface ServiceRun {
  readonly requestId: RequestId;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** When it ran, in milliseconds of the monotonic clock. */
  readonly atMs: number;
}

/** A plain service in the small: reads answer a record, other methods write one. */
export class StandinService {
  readonly runs: ServiceRun[] = [];
  readonly #options: Required<StandinServiceOptions>;
  #running = 0;
  #state: 'live' | 'leaving' = 'live';
  /** How much longer a call takes than it should, as a factor. */
  slowFactor = 1;
  /** `failing` refuses each call at once without running it; `mute` runs it and never answers. */
  ailment: 'none' | 'failing' | 'mute' = 'none';

  constructor(options: StandinServiceOptions) {
    this.#options = { callMs: 10, ...options };
  }

  get id(): UpstreamId {
    return this.#options.id;
  }

  /** Takes no new work from now on. */
  leave(): void {
    this.#state = 'leaving';
  }

  /** Runs one call; it has run from the moment that this is entered. */
  async call(request: ServiceRequest): Promise<ServiceResponse> {
    if (this.#state === 'leaving') {
      throw new RouterError('upstreamUnavailable', `${this.id} is leaving`);
    }
    if (this.ailment === 'failing') {
      throw new RouterError('upstreamUnavailable', `${this.id} fails everything`);
    }
    const { requestId, method, path } = request;
    const atMs = this.#options.clock.monotonicMs();
    const body = Buffer.from(request.body).toString('utf8');
    this.runs.push({ requestId, method, path, body, atMs });
    if (this.ailment === 'mute') return new Promise<never>(() => undefined);
    this.#running += 1;
    await this.#options.clock.sleep(this.#options.callMs * this.slowFactor);
    this.#running -= 1;
    const answer = JSON.stringify({ service: this.id, method, path, run: this.runs.length });
    return {
      status: method === 'POST' ? 201 : 200,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(answer),
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
