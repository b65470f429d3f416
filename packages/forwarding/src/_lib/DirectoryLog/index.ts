import type { InstanceId, Log, Metrics } from '@acaciacrank/base';

/** Logs and counts directory responses, with the instances that they list. */
export class DirectoryLog {
  readonly #log: Log;
  readonly #metrics: Metrics;
  #listed: ReadonlySet<InstanceId> = new Set();

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /**
   * Records a directory response; instances that were added or dropped since the last one are
   * logged.
   */
  record(ids: readonly InstanceId[]): void {
    const listed = new Set(ids);
    const added = ids.filter((id) => !this.#listed.has(id));
    const dropped = [...this.#listed].filter((id) => !listed.has(id));
    this.#listed = listed;
    this.#metrics.count('directoryAnswers');
    if (added.length === 0 && dropped.length === 0) return;
    this.#log.info({ added, dropped, named: ids.length }, 'directory names');
  }
}
