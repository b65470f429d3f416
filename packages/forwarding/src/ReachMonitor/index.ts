import type { Clock, Log, Metrics, Random } from '@acaciacrank/base';
import { chooseProbeTargets, UpstreamReach, type ProbeTarget } from '@acaciacrank/routing';
import { probeAddress } from '../_lib/probeAddress/index.js';

/** Options of {@link ReachMonitor}. */
export interface ReachMonitorOptions {
  clock: Clock;
  random: Random;
  log: Log;
  metrics: Metrics;
  /** Returns the upstreams that can be probed. */
  targets: () => readonly ProbeTarget[];
  /** Called when upstreams are reached again. */
  onReturn: () => void;
}

/** Number of upstreams that are probed in a doubt, and in each round while none is reached. */
const probeCounts = { inDoubt: 12, unreached: 4 } as const;
/** How long a probe may take, in milliseconds. */
const probeTimeoutMs = 250;
/** Time between two rounds of probes while no upstream is reached, in milliseconds. */
const roundIntervalMs = 400;

/** Finds out whether this instance reaches upstreams; probes are sent only while that is in doubt. */
export class ReachMonitor implements Disposable {
  readonly reach: UpstreamReach;
  readonly #options: ReachMonitorOptions;
  readonly #lostCallbacks = new Set<() => void>();
  #probing: Promise<void> | undefined;
  #nextRound: Disposable | undefined;
  #isDisposed = false;

  constructor(options: ReachMonitorOptions) {
    this.#options = options;
    this.reach = new UpstreamReach(options.clock);
  }

  /**
   * Whether requests can be sent to upstreams, as far as is known. A doubt counts as no until probes have answered
   * it.
   */
  get isReached(): boolean {
    const { state } = this.reach;
    if (state === 'inDoubt') void this.#answerDoubt();
    return state === 'reached';
  }

  /** Like {@link isReached}, once probes have answered a doubt. */
  async settle(): Promise<boolean> {
    if (this.reach.state === 'inDoubt') await this.#answerDoubt();
    return this.reach.state === 'reached';
  }

  /** Calls back when it turns out that no upstream is reached and nothing is received from any. */
  onLost(callback: () => void): Disposable {
    this.#lostCallbacks.add(callback);
    return { [Symbol.dispose]: () => void this.#lostCallbacks.delete(callback) };
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#nextRound?.[Symbol.dispose]();
  }

  #answerDoubt(): Promise<void> {
    this.#probing ??= this.#probe().finally(() => {
      this.#probing = undefined;
    });
    return this.#probing;
  }

  async #probe(): Promise<void> {
    const isSilent = this.reach.isSilent;
    const isReached = await this.#probeSome();
    this.#options.metrics.count('reachProbes', isReached ? 'accepted' : 'failed');
    if (this.reach.recordProbes(isReached)) this.#report(isSilent);
    if (this.reach.state !== 'unreached' || this.#isDisposed) return;
    this.#nextRound = this.#options.clock.schedule(roundIntervalMs, () => void this.#answerDoubt());
  }

  /** Returns whether any of a few upstreams accepts a connection. */
  async #probeSome(): Promise<boolean> {
    const { targets, random, clock } = this.#options;
    const count = this.reach.state === 'unreached' ? probeCounts.unreached : probeCounts.inDoubt;
    const accepting = chooseProbeTargets(targets(), { count, random }).map(({ address }) =>
      probeUntilAccepted(clock, address),
    );
    return Promise.any(accepting).then(
      () => true,
      () => false,
    );
  }

  #report(isSilent: boolean): void {
    const { log, metrics } = this.#options;
    const isReached = this.reach.state === 'reached';
    metrics.count('reachChanges', isReached ? 'reached' : 'unreached');
    if (isReached) {
      log.info('upstreams are reached again');
      this.#options.onReturn();
      return;
    }
    log.warn({ isSilent }, 'no upstream is reached');
    if (!isSilent) return;
    for (const callback of [...this.#lostCallbacks]) callback();
  }
}

async function probeUntilAccepted(clock: Clock, address: string): Promise<void> {
  const outcome = await probeAddress(clock, address, probeTimeoutMs);
  if (outcome !== 'accepted') throw new Error(`${address} is not reached: ${outcome}`);
}
