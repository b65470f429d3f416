import { getOrCreate, type Clock, type ServiceName } from '@acaciacrank/base';

/** A version that upstreams of a service state; undefined if one states none. */
type StatedVersion = string | undefined;

/**
 * The software versions that the upstreams of each service have run lately, as their records state them.
 *
 * It proves that a service has had one version only: that all records were seen for a time without interruption, and
 * that none of them stated another.
 *
 * @example
 * history.recordGone(service, 'v1');
 * history.soleVersion(service, ['v2'], 20_000);
 * //=> undefined
 */
export class VersionHistory {
  readonly #clock: Clock;
  /** When upstreams that are gone, or run another version now, last ran each version. */
  readonly #lastSeenMs = new Map<ServiceName, Map<StatedVersion, number>>();
  #completeSinceMs = Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that from now on each change of a record is seen. */
  recordComplete(): void {
    this.#completeSinceMs = Math.min(this.#completeSinceMs, this.#clock.monotonicMs());
  }

  /** Records that changes may be missed. */
  recordIncomplete(): void {
    this.#completeSinceMs = Infinity;
  }

  /** Records that an upstream does not run a version any more. */
  recordGone(service: ServiceName, version: StatedVersion): void {
    const ofService = getOrCreate(
      this.#lastSeenMs,
      service,
      () => new Map<StatedVersion, number>(),
    );
    ofService.set(version, this.#clock.monotonicMs());
  }

  /**
   * Returns the one version that a service has had.
   *
   * @param service - the service
   * @param current - the versions that its upstreams state now
   * @param durationMs - for how long, in milliseconds
   * @returns undefined if there was another, or it is not known
   */
  soleVersion(
    service: ServiceName,
    current: Iterable<StatedVersion>,
    durationMs: number,
  ): string | undefined {
    const sinceMs = this.#clock.monotonicMs() - durationMs;
    if (this.#completeSinceMs > sinceMs) return undefined;
    const versions = new Set(current);
    for (const [version, lastSeenMs] of this.#lastSeenMs.get(service) ?? [])
      if (lastSeenMs > sinceMs) versions.add(version);
    const [version] = versions;
    return versions.size === 1 ? version : undefined;
  }
}
