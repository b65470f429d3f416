import type { ServiceName } from '@acaciacrank/base';
import { EngineModel, type EngineFit } from '@acaciacrank/routing';

/** What was learnt of each service's engines. */
export class EngineModels {
  readonly #byService = new Map<ServiceName, EngineModel>();
  readonly #onFit: (service: ServiceName, fit: EngineFit) => void;

  /** @param onFit - called when more was learnt of a service */
  constructor(onFit: (service: ServiceName, fit: EngineFit) => void) {
    this.#onFit = onFit;
  }

  /** The model of a service, which knows nothing at first. */
  of(service: ServiceName): EngineModel {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const fresh = new EngineModel((fit) => {
      this.#onFit(service, fit);
    });
    this.#byService.set(service, fresh);
    return fresh;
  }
}
