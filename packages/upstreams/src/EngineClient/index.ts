import { RouterError, type RequestId } from '@acaciacrank/base';
import { AdaptiveTimeout } from '../AdaptiveTimeout/index.js';
import type {
  CacheEvent,
  EngineFrame,
  EngineState,
  EngineUsage,
  GenerateRequest,
  LoadReport,
  OrderOutcome,
  OrderRequest,
} from '../types.js';

/** A client for one model engine. */
export abstract class EngineClient {
  /** Adaptive timeout for the gaps between this engine's tokens. */
  readonly tokenGapTimeout = new AdaptiveTimeout({ floorMs: 1_000, ceilingMs: 10_000 });
  /** Adaptive timeout for this engine's first token, which queueing and long prompts delay. */
  readonly firstTokenTimeout = new AdaptiveTimeout({ floorMs: 2_000, ceilingMs: 30_000 });

  /**
   * Starts a generation.
   *
   * @throws RouterError `upstreamUnavailable` if the engine certainly did not accept the request,
   * `upstreamFailed` if the stream broke off and may be resumed
   */
  abstract generate(request: GenerateRequest, signal: AbortSignal): AsyncIterable<EngineFrame>;

  /**
   * Resumes a stream from a token offset, on another connection.
   *
   * @param requestId - the generation to resume
   * @param offset - the sequence number of the first token to send
   * @param signal - aborts the connection only; {@link cancel} ends the generation
   * @throws RouterError `notFound` if the engine no longer has the generation
   */
  abstract resume(
    requestId: RequestId,
    offset: number,
    signal: AbortSignal,
  ): AsyncIterable<EngineFrame>;

  /** Cancels a generation that is no longer needed; idempotent. */
  abstract cancel(requestId: RequestId): Promise<void>;

  /**
   * Reads the usage of a cancelled generation, for engines that report it.
   *
   * @returns undefined if the engine does not report it
   */
  readUsage(requestId: RequestId): Promise<EngineUsage | undefined> {
    void requestId;
    return Promise.resolve(undefined);
  }

  /** Reads the engine's latest load report. */
  abstract readLoad(): Promise<LoadReport>;

  /**
   * Reads the changes of the engine's prefix cache after an event, for engines that publish them.
   *
   * @param sinceSequence - the last event that was read; 0 for all events that the engine still has
   */
  readCacheEvents(sinceSequence: number): Promise<readonly CacheEvent[]> {
    void sinceSequence;
    return Promise.resolve([]);
  }

  /**
   * Sends an order; only the holder of the service's order lease may do so. Orders are idempotent:
   * each names a desired state.
   *
   * @param request - the order and the sender's fencing token
   * @param signal - aborts the order, which may have taken effect nevertheless
   * @returns how the engine responded
   * @throws RouterError if it is unknown whether the engine accepted the order
   */
  order(request: OrderRequest, signal: AbortSignal): Promise<OrderOutcome> {
    void signal;
    const message = `the engine does not support the order ${request.order.kind}`;
    return Promise.reject(new RouterError('notFound', message));
  }

  /** Reads the state that the engine reports, for engines that accept orders. */
  readState(): Promise<EngineState> {
    return Promise.reject(new RouterError('notFound', 'the engine does not report its state'));
  }
}
