import type { Clock, UpstreamId } from '@acaciacrank/base';
import type {
  AdapterVersion,
  EngineOrder,
  EngineRole,
  EngineState,
  ModelVersion,
  OrderOutcome,
  OrderRequest,
} from '@acaciacrank/upstreams';

/** Options of {@link StandinControl}. */
export interface StandinControlOptions {
  clock: Clock;
  /** Whether an order whose fencing number is lower than an earlier one is refused. */
  checksFencing?: boolean;
  /** Whether the engine can export its KV cache to another engine. */
  offersKvExport?: boolean;
}

/** One order that an engine executed; tests read it. */
export interface ExecutedOrder {
  readonly order: EngineOrder;
  readonly fencingNumber: number;
  /** When the order was executed, in milliseconds of the monotonic clock. */
  readonly atMs: number;
}

/** Control interface of a fake engine: its models, adapters and role, and the orders that change them. */
export class StandinControl {
  /** Executed orders, oldest first. */
  readonly executedOrders: ExecutedOrder[] = [];
  /** Orders that were refused because of an outdated fencing number. */
  readonly refusedOrders: OrderRequest[] = [];
  /** Number of upcoming orders that are executed but whose response is lost. */
  responsesToLose = 0;
  /** Retry delay with which orders are refused as rate-limited, in milliseconds; undefined accepts them. */
  rateLimitedForMs: number | undefined;
  readonly #options: Required<StandinControlOptions>;
  #models: readonly ModelVersion[] = [];
  #adapters: readonly AdapterVersion[] = [];
  #role: EngineRole = 'both';
  #kvExportedTo: UpstreamId | undefined;
  #highestFencingNumber = 0;

  constructor(options: StandinControlOptions) {
    this.#options = { checksFencing: true, offersKvExport: true, ...options };
  }

  /** Resets the state, as a restart of the engine does. */
  restart(): void {
    this.#models = [];
    this.#adapters = [];
    this.#role = 'both';
    this.#kvExportedTo = undefined;
    this.#highestFencingNumber = 0;
  }

  /** Returns the reported state. */
  state(): EngineState {
    return {
      models: this.#models,
      adapters: this.#adapters,
      role: this.#role,
      offersKvExport: this.#options.offersKvExport,
      kvExportedTo: this.#kvExportedTo,
    };
  }

  /**
   * Executes an order unless it is stale or rate-limited.
   *
   * @throws Error if the loss of the response is simulated; the order has been executed
   */
  handleOrder(request: OrderRequest): OrderOutcome {
    const { fencingNumber, order } = request;
    if (this.#options.checksFencing && fencingNumber < this.#highestFencingNumber) {
      this.refusedOrders.push(request);
      return { kind: 'stale' };
    }
    this.#highestFencingNumber = Math.max(this.#highestFencingNumber, fencingNumber);
    if (this.rateLimitedForMs !== undefined) {
      return { kind: 'rateLimited', retryAfterMs: this.rateLimitedForMs };
    }
    this.executedOrders.push({ order, fencingNumber, atMs: this.#options.clock.monotonicMs() });
    this.#apply(order);
    if (this.responsesToLose > 0) {
      this.responsesToLose -= 1;
      throw new Error('simulated loss of the response');
    }
    return { kind: 'taken' };
  }

  #apply(order: EngineOrder): void {
    switch (order.kind) {
      case 'loadModel': {
        const { model, version } = order;
        const others = this.#models.filter((held) => held.model !== model);
        this.#models = [...others, { model, version }];
        break;
      }
      case 'loadAdapter': {
        const { model, version, adapter } = order;
        const others = this.#adapters.filter((held) => held.adapter !== adapter);
        this.#adapters = [...others, { model, version, adapter }];
        break;
      }
      case 'changeRole':
        this.#role = order.role;
        break;
      case 'exportKv':
        this.#kvExportedTo = order.receiverId;
    }
  }
}
