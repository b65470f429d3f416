/**
 * What routing decisions look at.
 */
import type { FailureDomainId, ServiceName, UpstreamId } from '@acaciacrank/base';
import type { ListedInstance } from '@acaciacrank/store';
import type { EngineClient, LoadReport, ServiceClient } from '@acaciacrank/upstreams';
import type { ConcurrencyLimit } from './ConcurrencyLimit/index.js';
import type { UpstreamHealth } from './UpstreamHealth/index.js';

/** An upstream, as this instance sees it. */
export interface Upstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly failureDomain: FailureDomainId;
  readonly engine: EngineClient | undefined;
  readonly plain: ServiceClient | undefined;
  /** Requests that this instance has under way there. */
  inFlightRequests: number;
  /** Requests that this instance began there, less those that ended, since the last report. */
  sentSinceReport: number;
  /**
   * Added to the reported requests because the part that is not this instance's is out of date: it
   * draws that part towards the mean over the service's upstreams, the more the later the report.
   */
  lagCorrection: number;
  report: LoadReport | undefined;
  state: 'live' | 'leaving';
  /** Rises when the upstream has restarted under the same id: what it cached is gone. */
  incarnation: number;
  /** It refused work and has not reported since that it is live: it may be leaving. */
  isSuspect: boolean;
  /** How many requests this instance may have under way there. */
  readonly limit: ConcurrencyLimit;
  /** What this instance has seen of it itself. */
  readonly health: UpstreamHealth;
}

/** Opens clients for upstreams; the one place where real and in-process forms differ. */
export abstract class UpstreamClients {
  abstract engine(entry: ListedInstance): EngineClient;
  abstract service(entry: ListedInstance): ServiceClient;
}
