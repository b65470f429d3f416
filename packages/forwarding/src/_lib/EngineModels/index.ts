import type { ServiceName } from '@acaciacrank/base';
import { EngineModel, type EngineFit } from '@acaciacrank/routing';

/** The learned prefill model of each service's engines. */
export class EngineModels {
  readonly #byService = new Map<ServiceName, EngineModel>();
  readonly #onFit: (service: ServiceName, fit: EngineFit) => void;

  /** @param onFit - called when the model of a service was fitted to new samples */
  constructor(onFit: (service: ServiceName, fit: EngineFit) => void) {
    this.#onFit = onFit;
  }

  /** Returns the model of a service; a new model starts without samples. */
  get(service: ServiceName): EngineModel {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const created = new EngineModel((fit) => {
      this.#onFit(service, fit);
    });
    this.#byService.set(service, created);
    return created;
  }
}
