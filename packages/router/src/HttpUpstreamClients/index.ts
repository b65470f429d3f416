import type { Clock } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import { UpstreamClients } from '@acaciacrank/routing';
import { HttpEngineClient, HttpServiceClient } from '@acaciacrank/upstreams';

/** Creates HTTP clients for listed upstreams. */
export class HttpUpstreamClients extends UpstreamClients {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override engine(entry: ListedInstance): HttpEngineClient {
    return new HttpEngineClient({ url: entry.url, clock: this.#clock });
  }

  override service(entry: ListedInstance): HttpServiceClient {
    return new HttpServiceClient({ url: entry.url, clock: this.#clock });
  }
}
