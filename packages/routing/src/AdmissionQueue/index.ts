import {
  RouterError,
  type AccountId,
  type Clock,
  type Random,
  type ServiceName,
} from '@acaciacrank/base';
import { ServiceQueue, type PrioritizedItem } from '../_lib/ServiceQueue/index.js';

/** Options of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  clock: Clock;
  /** Returns the limit for a service's in-flight requests; called for each decision, since it changes. */
  limit: (service: ServiceName | undefined) => number;
  /** Maximum number of waiting requests per service; 1000 by default. */
  maxWaiting?: number;
  /** Expected time from a request's admission to its first token, in milliseconds; 0 by default. */
  expectedFirstTokenMs?: (request: AdmissionRequest) => number;
  /** Adds jitter to the retry-after times; no jitter by default. */
  random?: Random;
}

/** A request for admission. */
export interface AdmissionRequest {
  /** The service to be called; each service has a separate queue and limit. */
  readonly service?: ServiceName;
  /** 0 is the most important. */
  readonly priority: number;
  readonly accountId: AccountId;
  /** Deadline for its first token, in milliseconds from now. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

interface WaitingItem extends PrioritizedItem {
  readonly request: AdmissionRequest;
  /** Latest time, by the monotonic clock, at which it can start and still meet its deadline. */
  readonly latestStartMs: number;
  readonly admit: (slot: Disposable) => void;
  readonly refuse: (error: RouterError) => void;
}

/** Interval at which waiting requests are reviewed, in milliseconds. */
const reviewIntervalMs = 25;
/**
 * A waiting request is refused only if its predicted wait exceeds this multiple of its remaining time,
 * because predictions fluctuate.
 */
const lateToleranceFactor = 1.25;
/** Bounds of the retry-after time before jitter, in milliseconds. */
const minRetryAfterMs = 500;
const maxRetryAfterMs = 30_000;
/** Maximum random increase of the retry-after time, as a fraction of it. */
const retryAfterJitter = 0.5;

/**
 * Admission control with a queue per service: serves classes in order of priority and the accounts of a
 * class in turn.
 *
 * A request that is predicted to miss the deadline for its first token is refused early, with
 * `ran: 'notRun'` and a retry-after time: on arrival, or later as soon as its predicted wait becomes too
 * long. Higher classes are served first, so load shedding affects the lowest class first and the highest
 * only when that class alone exceeds the limit.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #queues = new Map<ServiceName | undefined, ServiceQueue<WaitingItem>>();
  #reviewTimer: Disposable | undefined;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
  }

  /** Number of waiting requests of all services. */
  get waitingRequests(): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.waiting, 0);
  }

  /**
   * Waits until the request may start.
   *
   * @returns the request's slot, to be disposed of when the request has ended
   * @throws RouterError `overloaded` as soon as the request is predicted to miss its deadline or is evicted
   * from a full queue, `upstreamUnavailable` in the same cases when the limit is 0, `deadlineExceeded`, or
   * `cancelled`
   *
   * @example
   * using slot = await queue.admit({ priority: 1, accountId, waitMs: 2_000, signal });
   */
  async admit(request: AdmissionRequest): Promise<Disposable> {
    const nowMs = this.#options.clock.monotonicMs();
    const queue = this.#getOrCreateQueue(request.service, nowMs);
    if (queue.waiting === 0 && queue.taken < this.#limit(request.service)) {
      queue.recordArrival(request.priority, nowMs);
      return this.#takeSlot(request.service, queue);
    }
    this.#refuseIfLate(request, queue, nowMs);
    this.#evictIfFull(request, queue);
    queue.recordArrival(request.priority, nowMs);
    return this.#enqueue(request, queue, nowMs);
  }

  #takeSlot(service: ServiceName | undefined, queue: ServiceQueue<WaitingItem>): Disposable {
    const { clock } = this.#options;
    const admittedMs = clock.monotonicMs();
    let isReleased = false;
    queue.takeSlot();
    return {
      [Symbol.dispose]: () => {
        if (isReleased) return;
        isReleased = true;
        const nowMs = clock.monotonicMs();
        queue.releaseSlot(nowMs - admittedMs, nowMs);
        this.#admitNext(service, queue);
      },
    };
  }

  #refuseIfLate(request: AdmissionRequest, queue: ServiceQueue<WaitingItem>, nowMs: number): void {
    const { service, priority, accountId, waitMs } = request;
    const limit = this.#limit(service);
    const predictedMs = queue.predictWaitMs(priority, accountId, limit, nowMs);
    const lateMs = predictedMs - this.#maxSlotWaitMs(request);
    if (lateMs > 0) throw this.#createRefusal(service, `no free slot within ${waitMs} ms`, lateMs);
  }

  /** If the queue is full, refuses the least important request, which may be the new one. */
  #evictIfFull(request: AdmissionRequest, queue: ServiceQueue<WaitingItem>): void {
    if (queue.waiting < (this.#options.maxWaiting ?? 1_000)) return;
    const candidate = queue.leastImportantItem();
    const message = 'the admission queue of this instance is full';
    const error = this.#createRefusal(request.service, message, minRetryAfterMs);
    const isRequestLessImportant = candidate === undefined || candidate.priority < request.priority;
    const isSamePriority = candidate?.priority === request.priority;
    if (isRequestLessImportant || (isSamePriority && candidate.accountId === request.accountId))
      throw error;
    candidate.refuse(error);
  }

  async #enqueue(
    request: AdmissionRequest,
    queue: ServiceQueue<WaitingItem>,
    nowMs: number,
  ): Promise<Disposable> {
    const { signal, priority, accountId } = request;
    if (signal.aborted) throw createCancelledError();
    let onAbort: (() => void) | undefined;
    try {
      return await new Promise<Disposable>((resolve, reject) => {
        const item: WaitingItem = {
          request,
          priority,
          accountId,
          latestStartMs: nowMs + this.#maxSlotWaitMs(request),
          admit: resolve,
          refuse: (error) => {
            queue.remove(item);
            reject(error);
          },
        };
        onAbort = () => {
          item.refuse(createCancelledError());
        };
        signal.addEventListener('abort', onAbort, { once: true });
        queue.push(item, nowMs);
        this.#admitNext(request.service, queue);
        this.#scheduleReview();
      });
    } finally {
      if (onAbort !== undefined) signal.removeEventListener('abort', onAbort);
    }
  }

  #admitNext(service: ServiceName | undefined, queue: ServiceQueue<WaitingItem>): void {
    while (queue.waiting > 0 && queue.taken < this.#limit(service)) {
      const next = queue.shift();
      if (next === undefined) return;
      next.admit(this.#takeSlot(service, queue));
    }
  }

  #scheduleReview(): void {
    this.#reviewTimer ??= this.#options.clock.schedule(reviewIntervalMs, () => {
      this.#reviewTimer = undefined;
      for (const [service, queue] of this.#queues) this.#reviewQueue(service, queue);
      if (this.waitingRequests > 0) this.#scheduleReview();
    });
  }

  /** Reviews all waiting requests, since limits and predictions also change without a new request. */
  #reviewQueue(service: ServiceName | undefined, queue: ServiceQueue<WaitingItem>): void {
    if (queue.waiting === 0) return;
    this.#admitNext(service, queue);
    const nowMs = this.#options.clock.monotonicMs();
    for (const { item, waitMs } of queue.predictWaits(this.#limit(service), nowMs)) {
      const remainingMs = item.latestStartMs - nowMs;
      const message = `no free slot within ${item.request.waitMs} ms`;
      if (remainingMs <= 0) item.refuse(new RouterError('deadlineExceeded', message));
      else if (waitMs > remainingMs * lateToleranceFactor) {
        item.refuse(this.#createRefusal(service, message, waitMs - remainingMs));
      }
    }
  }

  /** Longest wait after which the first token can still be in time. */
  #maxSlotWaitMs(request: AdmissionRequest): number {
    return request.waitMs - (this.#options.expectedFirstTokenMs?.(request) ?? 0);
  }

  #createRefusal(service: ServiceName | undefined, message: string, lateMs: number): RouterError {
    const boundedMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, lateMs));
    const jitterFactor = 1 + retryAfterJitter * (this.#options.random?.() ?? 0);
    const retryAfterMs = Math.round(boundedMs * jitterFactor);
    const kind = this.#limit(service) > 0 ? 'overloaded' : 'upstreamUnavailable';
    return new RouterError(kind, message, { retryAfterMs });
  }

  #limit(service: ServiceName | undefined): number {
    return this.#options.limit(service);
  }

  #getOrCreateQueue(service: ServiceName | undefined, nowMs: number): ServiceQueue<WaitingItem> {
    const existing = this.#queues.get(service);
    if (existing !== undefined) return existing;
    const queue = new ServiceQueue<WaitingItem>(nowMs);
    this.#queues.set(service, queue);
    return queue;
  }
}

function createCancelledError(): RouterError {
  return new RouterError('cancelled', 'the caller went away', { ran: 'notRun' });
}
