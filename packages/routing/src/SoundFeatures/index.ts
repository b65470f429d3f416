import { getOrCreate, type Clock, type FeatureId, type ServiceName } from '@acaciacrank/base';

/** Time after its first event from which an answer shows that its request does not end its upstream, in ms. */
export const livedOnMs = 1_000;

/** How long a generation of answers is collected, in milliseconds; two are kept. */
const generationMs = 30_000;
/** Maximum number of features in a generation; a full one ends early. */
const maxFeatures = 4_096;

interface FeatureRecord {
  count: number;
  lastMs: number;
}

/** The answers of one service within a span of time. */
interface Generation {
  readonly startedMs: number;
  answers: number;
  readonly features: Map<FeatureId, FeatureRecord>;
}

interface ServiceRecord {
  current: Generation;
  previous: Generation;
}

/**
 * Features of requests that upstreams have answered a short time ago, by service.
 *
 * Guards against blaming what requests have in common for crashes of their upstreams that it does not cause: an answer
 * that lives on shows that its features do not end upstreams.
 *
 * @example
 * sound.record(service, ['a1', 'b2']);
 * sound.lastSoundMs(service, 'a1'); //=> now
 */
export class SoundFeatures {
  readonly #clock: Clock;
  readonly #services = new Map<ServiceName, ServiceRecord>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records an answer, with the features of its request. */
  record(service: ServiceName, features: readonly FeatureId[]): void {
    const nowMs = this.#clock.monotonicMs();
    const { current } = this.#recordOf(service, nowMs);
    current.answers += 1;
    for (const feature of features) {
      const known = current.features.get(feature);
      if (known === undefined) {
        current.features.set(feature, { count: 1, lastMs: nowMs });
        continue;
      }
      known.count += 1;
      known.lastMs = nowMs;
    }
  }

  /** When a request with the feature was last answered, on the monotonic clock in milliseconds. */
  lastSoundMs(service: ServiceName, feature: FeatureId): number | undefined {
    const { current, previous } = this.#recordOf(service, this.#clock.monotonicMs());
    return (current.features.get(feature) ?? previous.features.get(feature))?.lastMs;
  }

  /** Whether a request without the feature was answered. */
  hasOthers(service: ServiceName, feature: FeatureId): boolean {
    const { current, previous } = this.#recordOf(service, this.#clock.monotonicMs());
    return [current, previous].some(
      ({ answers, features }) => answers > (features.get(feature)?.count ?? 0),
    );
  }

  #recordOf(service: ServiceName, nowMs: number): ServiceRecord {
    const record = getOrCreate(this.#services, service, () => ({
      current: createGeneration(nowMs),
      previous: createGeneration(nowMs),
    }));
    const { startedMs, features } = record.current;
    if (nowMs - startedMs < generationMs && features.size < maxFeatures) return record;
    const isForgotten = nowMs - startedMs >= 2 * generationMs;
    record.previous = isForgotten ? createGeneration(nowMs) : record.current;
    record.current = createGeneration(nowMs);
    return record;
  }
}

function createGeneration(startedMs: number): Generation {
  return { startedMs, answers: 0, features: new Map() };
}
