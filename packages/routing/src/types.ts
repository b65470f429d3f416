/**
 * Input to routing decisions.
 */
import type { FailureDomainId, ServiceName, UpstreamId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { EngineClient, LoadReport, ServiceClient } from '@acaciacrank/upstreams';
import type { ConcurrencyLimit } from './ConcurrencyLimit/index.js';
import type { OverloadBackoff } from './OverloadBackoff/index.js';
import type { UpstreamHealth } from './UpstreamHealth/index.js';

/** State of an upstream as observed by this instance. */
export interface Upstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly failureDomain: FailureDomainId;
  /** Client of an inference engine; undefined for other services. */
  readonly engine: EngineClient | undefined;
  /** Client of a service other than an engine; undefined for engines. */
  readonly plain: ServiceClient | undefined;
  /** Number of in-flight requests of this instance at the upstream. */
  inFlightRequests: number;
  /** Change of `inFlightRequests` since the last report was measured: requests started minus ended. */
  inFlightDelta: number;
  /**
   * Added to the reported requests because the reported requests of other instances are out of date:
   * moves them towards their mean over the service's upstreams, the further the older the report is.
   */
  lagCorrection: number;
  report: LoadReport | undefined;
  state: 'live' | 'leaving';
  /** Incremented when the upstream has restarted under the same id, which empties its cache. */
  incarnation: number;
  /** Whether it has refused a request and not reported since that it is live; it may be leaving. */
  isSuspect: boolean;
  /** The backoff that it requested from this instance. */
  readonly backoff: OverloadBackoff;
  /** Limits the in-flight requests of this instance at the upstream. */
  readonly limit: ConcurrencyLimit;
  /** Health as observed by this instance's own requests. */
  readonly health: UpstreamHealth;
}

/** Creates the clients of upstreams; real and in-process upstreams differ only here. */
export abstract class UpstreamClients {
  abstract engine(entry: ListedInstance): EngineClient;
  abstract service(entry: ListedInstance): ServiceClient;
}
