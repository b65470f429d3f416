import { millisecondsInSecond, type AccountId, type Clock } from '@acaciacrank/base';

/** Options of {@link AccountDemand}. */
export interface AccountDemandOptions {
  clock: Clock;
  /** Time constant of the exponential average, in milliseconds. */
  timeConstantMs?: number;
}

interface Demand {
  /** Number of requests open now. */
  openRequests: number;
  average: number;
  /** When `average` was last updated. */
  atMs: number;
}

/** An account without open requests is removed when its average falls below this value. */
const idleAverage = 0.05;

/**
 * Tracks the average number of open requests per client account at this instance. The average keeps
 * the directory from changing its answers with each request. Idle accounts use no memory.
 */
export class AccountDemand {
  readonly #clock: Clock;
  readonly #timeConstantMs: number;
  readonly #demands = new Map<AccountId, Demand>();

  constructor(options: AccountDemandOptions) {
    this.#clock = options.clock;
    this.#timeConstantMs = options.timeConstantMs ?? 30 * millisecondsInSecond;
  }

  /** Number of accounts in use. */
  get size(): number {
    return this.#demands.size;
  }

  /** Counts a request as open until the result is disposed of. */
  beginRequest(accountId: AccountId): Disposable {
    this.#updateDemand(accountId).openRequests += 1;
    return {
      [Symbol.dispose]: () => {
        this.#updateDemand(accountId).openRequests -= 1;
      },
    };
  }

  /**
   * Returns the exponentially averaged number of open requests of an account, and removes the account
   * if it is idle.
   *
   * @example
   * demand.average(accountId);
   * //=> 12.5
   */
  average(accountId: AccountId): number {
    if (!this.#demands.has(accountId)) return 0;
    const demand = this.#updateDemand(accountId);
    if (demand.openRequests === 0 && demand.average < idleAverage) this.#demands.delete(accountId);
    return demand.average;
  }

  /** Removes idle accounts. */
  forgetIdle(): void {
    for (const accountId of [...this.#demands.keys()]) this.average(accountId);
  }

  #updateDemand(accountId: AccountId): Demand {
    const nowMs = this.#clock.monotonicMs();
    const demand = this.#demands.get(accountId) ?? {
      openRequests: 0,
      average: 0,
      atMs: nowMs,
    };
    const weight = Math.exp(-(nowMs - demand.atMs) / this.#timeConstantMs);
    demand.average = demand.average * weight + demand.openRequests * (1 - weight);
    demand.atMs = nowMs;
    this.#demands.set(accountId, demand);
    return demand;
  }
}
