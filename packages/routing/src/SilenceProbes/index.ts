import type { ServiceName } from '@acaciacrank/base';

/** Counts the hedged requests that were sent while most upstreams of their service were silent. */
export class SilenceProbes {
  readonly #counts = new Map<ServiceName, number>();

  /** Number of such requests of a service that are under way. */
  countOf(service: ServiceName): number {
    return this.#counts.get(service) ?? 0;
  }

  /** Counts one until it is disposed of. */
  begin(service: ServiceName): Disposable {
    this.#counts.set(service, this.countOf(service) + 1);
    return {
      [Symbol.dispose]: () => {
        this.#counts.set(service, this.countOf(service) - 1);
      },
    };
  }
}
