import type { ServiceName } from '@acaciacrank/base';
import { PrefillTimeModel, type PrefillTimeFit } from '@acaciacrank/routing';

/** The learned prefill model of each service's engines. */
export class PrefillTimeModels {
  readonly #byService = new Map<ServiceName, PrefillTimeModel>();
  readonly #onFit: (service: ServiceName, fit: PrefillTimeFit) => void;

  /** @param onFit - called when the model of a service was fitted to new samples */
  constructor(onFit: (service: ServiceName, fit: PrefillTimeFit) => void) {
    this.#onFit = onFit;
  }

  /** Returns the model of a service; a new model starts without samples. */
  get(service: ServiceName): PrefillTimeModel {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const created = new PrefillTimeModel((fit) => {
      this.#onFit(service, fit);
    });
    this.#byService.set(service, created);
    return created;
  }
}
