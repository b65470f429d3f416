import { getOrCreate, type ServiceName } from '@acaciacrank/base';

/**
 * Counts the hedged requests that were sent while most upstreams of their service were silent, and remembers the
 * requests that wait for one of them to end or to give something.
 */
export class SilenceProbes {
  readonly #counts = new Map<ServiceName, number>();
  readonly #waiting = new Map<ServiceName, Set<() => void>>();

  /** Number of such requests of a service that are under way. */
  countOf(service: ServiceName): number {
    return this.#counts.get(service) ?? 0;
  }

  /** Counts one until it is disposed of. */
  begin(service: ServiceName): Disposable {
    this.#counts.set(service, this.countOf(service) + 1);
    let isOpen = true;
    return {
      [Symbol.dispose]: () => {
        if (!isOpen) return;
        isOpen = false;
        this.#counts.set(service, this.countOf(service) - 1);
        this.#callNext(service);
      },
    };
  }

  /** Calls back once when there may be room for one more, unless disposed of before. */
  wait(service: ServiceName, callback: () => void): Disposable {
    const waiting = getOrCreate(this.#waiting, service, () => new Set<() => void>());
    waiting.add(callback);
    return { [Symbol.dispose]: () => void waiting.delete(callback) };
  }

  #callNext(service: ServiceName): void {
    const waiting = this.#waiting.get(service);
    const [next] = waiting ?? [];
    if (waiting === undefined || next === undefined) return;
    waiting.delete(next);
    next();
  }
}
