import { AdaptiveTimeout } from '../AdaptiveTimeout/index.js';
import type { LoadReport, ServiceResponse, ServiceRequest } from '../types.js';

/** A client for one plain service instance. */
export abstract class ServiceClient {
  /** Adaptive timeout for this service's responses. */
  readonly responseTimeout = new AdaptiveTimeout({ floorMs: 1_000, ceilingMs: 15_000 });

  /**
   * Makes one call.
   *
   * @param request - what to call
   * @param signal - aborts the call, which may have run nevertheless
   * @throws RouterError `upstreamUnavailable` if no byte of the call reached the service,
   * `outcomeUnknown` if it may have run
   */
  abstract call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse>;

  /** Reads the service's latest load report. */
  abstract readLoad(): Promise<LoadReport>;
}
