import { RouterError } from '@acaciacrank/base';

/** Options of {@link OpenRequests}. */
export interface OpenRequestsOptions {
  readonly maxOpenRequestsPerPage: number;
  readonly maxOpenRequests: number;
}

/**
 * Counts requests that are reserved or wait to be billed, and limits their number.
 *
 * While the store is unavailable, each request that ends leaves a pending bill. Without a limit, an outage
 * of minutes would use up the memory, and a crash of the process would lose all pending bills.
 */
export class OpenRequests {
  readonly #options: OpenRequestsOptions;
  readonly #countByPage = new Map<string, number>();
  readonly #closedRequests = new WeakSet();
  #total = 0;

  constructor(options: OpenRequestsOptions) {
    this.#options = options;
  }

  /**
   * Checks that another request may be opened.
   *
   * @throws RouterError `overloaded` if a limit is reached
   */
  checkLimit(pageKey: string): void {
    const { maxOpenRequestsPerPage, maxOpenRequests } = this.#options;
    const isFull =
      (this.#countByPage.get(pageKey) ?? 0) >= maxOpenRequestsPerPage ||
      this.#total >= maxOpenRequests;
    if (isFull) throw new RouterError('overloaded', 'too many requests wait to be billed');
  }

  add(pageKey: string): void {
    this.#countByPage.set(pageKey, (this.#countByPage.get(pageKey) ?? 0) + 1);
    this.#total += 1;
  }

  /** Removes a request once; returns whether it was still open. */
  remove(pageKey: string, request: object): boolean {
    if (this.#closedRequests.has(request)) return false;
    this.#closedRequests.add(request);
    const remaining = (this.#countByPage.get(pageKey) ?? 0) - 1;
    if (remaining > 0) this.#countByPage.set(pageKey, remaining);
    else this.#countByPage.delete(pageKey);
    this.#total -= 1;
    return true;
  }
}
