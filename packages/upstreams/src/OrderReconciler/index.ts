import {
  millisecondsInSecond,
  withTimeout,
  type Clock,
  type Metrics,
  type UpstreamId,
} from '@acaciacrank/base';
import type { EngineClient } from '../EngineClient/index.js';
import type { WeightLoadRateLimiter } from '../WeightLoadRateLimiter/index.js';
import { planOrders, type EngineTarget } from '../planOrders/index.js';
import type { StoreLease } from '../StoreLease/index.js';
import type { EngineOrder, OrderOutcome } from '../types.js';

/** An engine and its desired state. */
export interface ManagedEngine {
  readonly id: UpstreamId;
  readonly engine: EngineClient;
  readonly target: EngineTarget;
}

/** Options of {@link OrderReconciler}. */
export interface OrderReconcilerOptions {
  clock: Clock;
  metrics: Metrics;
  lease: StoreLease;
  /** Limits model and adapter loads to the weight store's rate for the service. */
  rateLimiter: WeightLoadRateLimiter;
  /** Returns the service's engines with their current desired state; called in each round. */
  engines: () => readonly ManagedEngine[];
  /** Timeout for one order or one state report, in milliseconds. */
  orderLimitMs?: number;
  /** Interval at which the lease is renewed and the engines are reconciled, in milliseconds. */
  roundIntervalMs?: number;
}

/**
 * Reconciles a service's engines with their desired state, under a lease in the store.
 *
 * Each round compares the state that the engines report with their targets and orders the
 * difference. So an order whose response was lost is seen to have taken effect, a lost order is
 * sent again, and changes made by a stale lease holder are corrected. How close to its expiry the
 * lease may still be used differs between engines that check the fencing token and engines that
 * ignore it.
 */
export abstract class OrderReconciler implements AsyncDisposable {
  protected readonly options: Required<OrderReconcilerOptions>;
  readonly #stop = new AbortController();
  #wasHolder = false;
  #loop: Promise<void> | undefined;

  constructor(options: OrderReconcilerOptions) {
    this.options = {
      orderLimitMs: 2 * millisecondsInSecond,
      roundIntervalMs: 5 * millisecondsInSecond,
      ...options,
    };
  }

  /** Whether an order may be sent now, given the remaining time of the lease. */
  protected abstract canSendOrder(leaseRemainingMs: number): boolean;

  /**
   * Whether the lease may be released before it expires, although a timed-out order may still
   * arrive.
   */
  protected abstract canReleaseEarly(): boolean;

  /** Runs rounds until disposed of. */
  start(): void {
    this.#loop ??= this.#runRounds();
  }

  /** Acquires or renews the lease and, as its holder, reconciles all engines once. */
  async runRound(): Promise<void> {
    const { lease, rateLimiter: rate, engines, metrics } = this.options;
    const isHolder = await lease.acquire();
    if (isHolder && !this.#wasHolder) {
      rate.empty();
      metrics.count('orderLeasesTaken');
    }
    this.#wasHolder = isHolder;
    if (!isHolder) return;
    // An engine that hangs must delay neither the other engines nor the renewal of the lease.
    await Promise.all(engines().map((managed) => this.#reconcile(managed)));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#loop;
    if (this.canReleaseEarly()) await this.options.lease.release().catch(() => undefined);
  }

  async #runRounds(): Promise<void> {
    const { clock, metrics, roundIntervalMs } = this.options;
    while (!this.#stop.signal.aborted) {
      await this.runRound().catch(() => {
        metrics.count('orderRoundsFailed');
      });
      await clock.sleep(roundIntervalMs, this.#stop.signal);
    }
  }

  async #reconcile({ engine, target }: ManagedEngine): Promise<void> {
    const { clock, metrics, orderLimitMs } = this.options;
    const limit = { kind: 'upstreamFailed', what: 'reading the state of an engine' } as const;
    try {
      const state = await withTimeout(clock, orderLimitMs, () => engine.readState(), limit);
      for (const order of planOrders(target, state)) {
        const outcome = await this.#sendOrder(engine, order);
        if (outcome?.kind !== 'taken') return;
      }
    } catch {
      metrics.count('ordersFailed');
    }
  }

  /**
   * Sends one order if that is allowed right now.
   *
   * Guards against a process pause of the holder: the lease is checked by the monotonic clock
   * immediately before the order is sent, with no await in between.
   */
  async #sendOrder(engine: EngineClient, order: EngineOrder): Promise<OrderOutcome | undefined> {
    const { clock, lease, metrics, orderLimitMs, rateLimiter: rate } = this.options;
    if (loadsWeights(order) && !rate.take()) return undefined;
    const { fencingNumber } = lease;
    if (fencingNumber === undefined || !this.canSendOrder(lease.remainingMs)) return undefined;
    metrics.count('ordersGiven', order.kind);
    const outcome = await withTimeout(
      clock,
      orderLimitMs,
      (signal) => engine.order({ fencingNumber, order }, signal),
      { kind: 'upstreamFailed', what: `the order ${order.kind}` },
    );
    if (outcome.kind === 'rateLimited') rate.pause(outcome.retryAfterMs);
    if (outcome.kind === 'stale') {
      // The engine has seen a later lease holder, so the local state of the lease is wrong.
      lease.markLost();
      metrics.count('ordersStale');
    }
    return outcome;
  }
}

/** For engines that reject an old fencing token: the lease may be used until it expires. */
export class FencedOrderReconciler extends OrderReconciler {
  protected override canSendOrder(leaseRemainingMs: number): boolean {
    return leaseRemainingMs > 0;
  }

  protected override canReleaseEarly(): boolean {
    return true;
  }
}

/**
 * Safety margin before the lease expires, in addition to the timeout of an order, in milliseconds.
 */
const unfencedMarginMs = 2 * millisecondsInSecond;

/**
 * For engines that ignore the fencing token: an order must complete well before the lease expires,
 * since nothing rejects one that arrives late. The next holder waits for the lease duration and the
 * clock skew before its first order. An order that slips through because the process was paused
 * between the check and the send is corrected in the next round.
 */
export class UnfencedOrderReconciler extends OrderReconciler {
  protected override canSendOrder(leaseRemainingMs: number): boolean {
    return leaseRemainingMs > this.options.orderLimitMs + unfencedMarginMs;
  }

  protected override canReleaseEarly(): boolean {
    return false;
  }
}

/**
 * Creates the reconciler that fits a service's engines.
 *
 * @param checksFencing - whether the service's engines check the fencing token
 * @param options - the engines and the lease
 *
 * @example
 * const reconciler = createOrderReconciler(service.checksFencing, options);
 * reconciler.start();
 */
export function createOrderReconciler(
  checksFencing: boolean,
  options: OrderReconcilerOptions,
): OrderReconciler {
  return checksFencing ? new FencedOrderReconciler(options) : new UnfencedOrderReconciler(options);
}

function loadsWeights(order: EngineOrder): boolean {
  return order.kind === 'loadModel' || order.kind === 'loadAdapter';
}
