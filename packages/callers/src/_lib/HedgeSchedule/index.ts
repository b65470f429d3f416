/**
 * Second attempts of a request beside those that are silent.
 */
import type { Clock, Metrics, ServiceName, UpstreamId } from '@acaciacrank/base';
import {
  decideHedge,
  isSilent,
  measureSilence,
  type SilenceProbes,
  type Upstream,
  type UpstreamRegistry,
} from '@acaciacrank/routing';
import { maxUpstreamsTried, type UpstreamPicker } from '../UpstreamPicker/index.js';

/** Options of {@link HedgeSchedule}. */
export interface HedgeScheduleOptions {
  clock: Clock;
  metrics: Metrics;
  registry: UpstreamRegistry;
  probes: SilenceProbes;
  picker: UpstreamPicker;
  service: ServiceName;
  /** Whether the request may run twice. */
  isRepeatable: boolean;
  /** Returns how many upstreams have ended under the request. */
  endCount: () => number;
  /** Returns for how long to wait until the next attempt is considered, in milliseconds; undefined for never. */
  waitMs: () => number | undefined;
  /** Starts an attempt; resolves when it has ended. */
  start: (upstream: Upstream) => Promise<unknown>;
}

/** Considers a second attempt each time that nothing has arrived for a while, until it is disposed of. */
export class HedgeSchedule implements Disposable {
  readonly #options: HedgeScheduleOptions;
  #timer: Disposable | undefined;

  constructor(options: HedgeScheduleOptions) {
    this.#options = options;
    this.#arm();
  }

  [Symbol.dispose](): void {
    this.#timer?.[Symbol.dispose]();
  }

  #arm(): void {
    const waitMs = this.#options.waitMs();
    if (waitMs === undefined) return;
    this.#timer = this.#options.clock.scheduleActive(waitMs, () => {
      this.#hedge(waitMs);
      this.#arm();
    });
  }

  #hedge(waitedMs: number): void {
    const { metrics, registry, probes, picker, service } = this.#options;
    const activities = registry.activities(service);
    const isHeardOf = (id: UpstreamId) => {
      const activity = activities.get(id);
      return activity === undefined || !isSilent(activity, waitedMs);
    };
    const decision = decideHedge({
      isRepeatable: this.#options.isRepeatable,
      endCount: this.#options.endCount(),
      sends: picker.triedUpstreams,
      maxSends: maxUpstreamsTried,
      hasCandidate: () => picker.candidateIds.some(isHeardOf),
      silence: () => measureSilence(activities.values(), waitedMs),
      probes: probes.countOf(service),
    });
    const isAllowed = decision === 'hedge' || decision === 'probe';
    const upstream = isAllowed ? picker.next(isHeardOf) : undefined;
    metrics.count('hedges', isAllowed && upstream === undefined ? 'budget' : decision);
    if (upstream === undefined) return;
    const probe = decision === 'probe' ? probes.begin(service) : undefined;
    void this.#options.start(upstream).then(() => probe?.[Symbol.dispose]());
  }
}
