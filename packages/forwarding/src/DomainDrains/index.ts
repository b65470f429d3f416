import type { Clock, FailureDomainId, Log, Metrics, ServiceName } from '@acaciacrank/base';
import { maxCopyAgeMs } from '@acaciacrank/store';
import type { UpstreamTable } from '../UpstreamTable/index.js';

/** Options of {@link DomainDrains}. */
export interface DomainDrainsOptions {
  clock: Clock;
  /** The table whose upstreams get no new requests while their failure domain is drained. */
  table: UpstreamTable;
  /** The services in the configuration. */
  services: () => readonly ServiceName[];
  log: Log;
  metrics: Metrics;
}

/**
 * The failure domains that the operator drains: their upstreams get no new requests until the drain is
 * taken back. Requests that are in progress there run to their end.
 *
 * If all failure domains of a service are drained, its requests are refused as not run: the operator asked
 * that nothing be sent there, which is logged.
 */
export class DomainDrains implements Disposable {
  readonly #options: DomainDrainsOptions;
  readonly #current = new Set<FailureDomainId>();
  /** Drains that an older copy of the store lacks, with the timer that ends them. */
  readonly #missing = new Map<FailureDomainId, Disposable>();
  #storeRestoredAtMs = -Infinity;
  #isKnown = false;

  constructor(options: DomainDrainsOptions) {
    this.#options = options;
  }

  /** The drained failure domains. */
  get current(): ReadonlySet<FailureDomainId> {
    return this.#current;
  }

  /** Whether a complete list was applied, so that a domain which is not drained is known not to be. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** Applies the complete list of drained failure domains. */
  replaceAll(domains: readonly FailureDomainId[]): void {
    this.#isKnown = true;
    const listed = new Set(domains);
    for (const domain of this.#current) if (!listed.has(domain)) this.#removeMissing(domain);
    for (const domain of listed) this.add(domain);
  }

  /** Starts the drain of a failure domain. */
  add(domain: FailureDomainId): void {
    this.#keep(domain);
    if (this.#current.has(domain)) return;
    this.#current.add(domain);
    this.#apply(domain, true);
  }

  /** Ends the drain of a failure domain. */
  remove(domain: FailureDomainId): void {
    this.#keep(domain);
    if (!this.#current.delete(domain)) return;
    this.#apply(domain, false);
  }

  /** Records that the store returned from an older copy, which may lack drains of the last seconds. */
  markStoreRestored(): void {
    this.#storeRestoredAtMs = this.#options.clock.monotonicMs();
  }

  [Symbol.dispose](): void {
    for (const timer of this.#missing.values()) timer[Symbol.dispose]();
    this.#missing.clear();
  }

  /**
   * Ends a drain that is not listed any more.
   *
   * Guards against requests to a failure domain whose drain was lost with a restore of the store: until the
   * operator's next change can be distinguished from that, the drain stays in force.
   */
  #removeMissing(domain: FailureDomainId): void {
    const { clock } = this.#options;
    const remainingMs = this.#storeRestoredAtMs + maxCopyAgeMs - clock.monotonicMs();
    if (remainingMs <= 0) {
      this.remove(domain);
      return;
    }
    if (this.#missing.has(domain)) return;
    const timer = clock.schedule(remainingMs, () => {
      this.remove(domain);
    });
    this.#missing.set(domain, timer);
  }

  #keep(domain: FailureDomainId): void {
    this.#missing.get(domain)?.[Symbol.dispose]();
    this.#missing.delete(domain);
  }

  #apply(domain: FailureDomainId, isDrained: boolean): void {
    const { table, log, metrics } = this.#options;
    table.setDrainedDomains(new Set(this.#current));
    const upstreams = table.all().filter(({ record }) => record.failureDomain === domain).length;
    metrics.count('domainDrains', isDrained ? 'started' : 'ended');
    log.info({ domain, upstreams }, isDrained ? 'failure domain drained' : 'drain ended');
    if (!isDrained) return;
    if (upstreams === 0) log.warn({ domain }, 'drained failure domain has no upstreams');
    this.#reportDrainedServices();
  }

  #reportDrainedServices(): void {
    const { table, services, log } = this.#options;
    for (const service of services()) {
      if (!table.isDrained(service)) continue;
      log.error({ service }, 'all failure domains of a service are drained; requests are refused');
    }
  }
}
