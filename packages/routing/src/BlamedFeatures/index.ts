import { getOrCreate, type Clock, type FeatureId, type ServiceName } from '@acaciacrank/base';
import type { Blame } from '../attributeCrashes/index.js';

/** Features that are blamed, at a service. */
export interface ServiceBlame extends Blame {
  readonly service: ServiceName;
  /** Since when, on the monotonic clock in milliseconds. */
  readonly sinceMs: number;
}

interface BlameEntry extends ServiceBlame {
  /** When this instance found it, or refused a request for it, last; negative infinity if it was only told. */
  witnessedMs: number;
  /** When a peer reported it last. */
  toldMs: number;
}

/** For how long features stay blamed after the last request or report, in milliseconds. */
const retentionMs = 3_600_000;
/** Maximum number of entries; the least recent ones are discarded first. */
const maxEntries = 256;
/**
 * For how long what was lifted, by an operator or since it does not hold, is not taken from peers again, in
 * milliseconds: what they have registered may be older. What an operator has lifted is not found again either.
 */
const liftedMs = { byOperator: 60_000, byEvidence: 10_000 } as const;

/**
 * The features that this instance refuses to send to upstreams, by service.
 *
 * @example
 * blamed.add({ service, features: ['dd'], crashCount: 3, sinceMs });
 * blamed.find(service, ['a1', 'dd']) !== undefined; //=> true
 */
export class BlamedFeatures {
  readonly #clock: Clock;
  readonly #byService = new Map<ServiceName, Map<string, BlameEntry>>();
  readonly #liftedUntilMs = new Map<string, number>();
  readonly #notToldUntilMs = new Map<string, number>();
  #size = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of blamed sets of features. */
  get size(): number {
    return this.#size;
  }

  /** All that is blamed. */
  all(): ServiceBlame[] {
    return this.#entries;
  }

  /**
   * What this instance itself found, or refused a request for. Only that is reported to peers: what is merely told would
   * go from one to the other for good.
   */
  witnessed(): ServiceBlame[] {
    const sinceMs = this.#clock.monotonicMs() - retentionMs;
    return this.#entries.filter(({ witnessedMs }) => witnessedMs > sinceMs);
  }

  get #entries(): BlameEntry[] {
    return [...this.#byService.values()].flatMap((entries) => [...entries.values()]);
  }

  /** Adds what this instance has found; returns whether it was not blamed yet. */
  add(blame: ServiceBlame): boolean {
    return this.#add(blame, { witnessedMs: this.#clock.monotonicMs(), toldMs: -Infinity });
  }

  /** Adds what a peer has reported; returns whether it was not blamed yet. */
  addTold(blame: ServiceBlame): boolean {
    const key = `${blame.service}/${keyOf(blame.features)}`;
    if (this.#clock.monotonicMs() < (this.#notToldUntilMs.get(key) ?? -Infinity)) return false;
    return this.#add(blame, { witnessedMs: -Infinity, toldMs: this.#clock.monotonicMs() });
  }

  #add(blame: ServiceBlame, news: Pick<BlameEntry, 'witnessedMs' | 'toldMs'>): boolean {
    const nowMs = this.#clock.monotonicMs();
    const key = keyOf(blame.features);
    if (nowMs < (this.#liftedUntilMs.get(`${blame.service}/${key}`) ?? -Infinity)) return false;
    const entries = getOrCreate(
      this.#byService,
      blame.service,
      () => new Map<string, BlameEntry>(),
    );
    const known = entries.get(key);
    if (known !== undefined) {
      known.witnessedMs = Math.max(known.witnessedMs, news.witnessedMs);
      known.toldMs = Math.max(known.toldMs, news.toldMs);
      return false;
    }
    this.#discardOld(nowMs);
    entries.set(key, { ...blame, ...news });
    this.#size += 1;
    return true;
  }

  /** Returns what is blamed among the features of a request, which makes this instance a witness of it. */
  find(service: ServiceName, features: readonly FeatureId[]): ServiceBlame | undefined {
    const entries = this.#byService.get(service);
    if (entries === undefined || entries.size === 0) return undefined;
    for (const entry of entries.values()) {
      if (!entry.features.every((feature) => features.includes(feature))) continue;
      entry.witnessedMs = this.#clock.monotonicMs();
      return entry;
    }
    return undefined;
  }

  /** Removes a blame that does not hold any more; returns whether there was one. */
  remove(service: ServiceName, features: readonly FeatureId[]): boolean {
    const key = keyOf(features);
    this.#refuseTold(service, key);
    return this.#remove(service, key);
  }

  /** Clears what is blamed although a request with all of it was answered; returns what that was. */
  clearSound(service: ServiceName, features: readonly FeatureId[]): readonly FeatureId[][] {
    const cleared: FeatureId[][] = [];
    for (const [key, entry] of this.#byService.get(service) ?? []) {
      if (!entry.features.every((feature) => features.includes(feature))) continue;
      this.#refuseTold(service, key);
      this.#remove(service, key);
      cleared.push([...entry.features]);
    }
    return cleared;
  }

  /** Removes a blame by an operator's command, and does not take it from peers again for a while. */
  lift(service: ServiceName, features: readonly FeatureId[]): void {
    const key = keyOf(features);
    this.#remove(service, key);
    this.#liftedUntilMs.set(`${service}/${key}`, this.#clock.monotonicMs() + liftedMs.byOperator);
  }

  #refuseTold(service: ServiceName, key: string): void {
    if (this.#notToldUntilMs.size >= maxEntries) this.#notToldUntilMs.clear();
    const untilMs = this.#clock.monotonicMs() + liftedMs.byEvidence;
    this.#notToldUntilMs.set(`${service}/${key}`, untilMs);
  }

  #remove(service: ServiceName, key: string): boolean {
    const isRemoved = this.#byService.get(service)?.delete(key) === true;
    if (isRemoved) this.#size -= 1;
    return isRemoved;
  }

  #discardOld(nowMs: number): void {
    let oldest: { readonly service: ServiceName; readonly key: string } | undefined;
    let oldestMs = Infinity;
    for (const [service, entries] of this.#byService) {
      for (const [key, { witnessedMs, toldMs }] of entries) {
        const lastNewsMs = Math.max(witnessedMs, toldMs);
        if (nowMs - lastNewsMs >= retentionMs) this.#remove(service, key);
        else if (lastNewsMs < oldestMs) {
          oldest = { service, key };
          oldestMs = lastNewsMs;
        }
      }
    }
    if (this.#size >= maxEntries && oldest !== undefined) this.#remove(oldest.service, oldest.key);
  }
}

/** Names a set of features, in whichever order they are given. */
export function keyOf(features: readonly FeatureId[]): string {
  return [...features].sort().join();
}
