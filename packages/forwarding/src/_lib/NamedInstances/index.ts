import type { InstanceId, Log, Metrics } from '@acaciacrank/base';

/** Whom the directory named last, for logs and metrics. */
export class NamedInstances {
  readonly #log: Log;
  readonly #metrics: Metrics;
  #named: ReadonlySet<InstanceId> = new Set();

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Notes an answer of the directory; a line tells of those that are named anew or no more. */
  note(ids: readonly InstanceId[]): void {
    const named = new Set(ids);
    const added = ids.filter((id) => !this.#named.has(id));
    const dropped = [...this.#named].filter((id) => !named.has(id));
    this.#named = named;
    this.#metrics.count('directoryAnswers');
    if (added.length === 0 && dropped.length === 0) return;
    this.#log.info({ added, dropped, named: ids.length }, 'directory names');
  }
}
