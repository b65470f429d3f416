import {
  createRandom,
  ManualClock,
  RouterError,
  type InstanceId,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import {
  BudgetLedger,
  readBudget,
  topUpBudget,
  type BudgetRef,
  type GrantPolicy,
  type Reservation,
} from '@acaciacrank/ledger';
import { LocalGrantNetwork } from '../../../../LocalGrantNetwork/index.js';
import { MemoryObjectStore, MemoryPlatform, type PlatformCalls } from '@acaciacrank/store';
import { cutOffInstances, instanceCount, isWithin, runMs, type FaultCase } from '../cases/index.js';
import { lossTimesMs, placeRequest, replaceAfterMs } from '../placeRequest/index.js';
import { topUpTokensOf } from '../runOracle/index.js';
import type { WorkloadRequest } from '../workload/index.js';

/** What one run drives. */
export interface PolicyRun {
  readonly requests: readonly WorkloadRequest[];
  readonly budgets: readonly BudgetRef[];
  readonly faultCase: FaultCase;
  readonly seed: number;
  readonly makePolicy: () => GrantPolicy;
}

/** What one run showed. */
export interface PolicyOutcome {
  readonly refused: ReadonlySet<number>;
  /** Tokens generated, or settled, beyond what was prepaid; over all budgets. */
  readonly overspendTokens: number;
  readonly strandedTokens: number;
  readonly calls: PlatformCalls;
}

/** How long one call of the store takes, in milliseconds. */
const storeDelayMs = 4;
/** How long after the last request the remainders are looked at, in milliseconds. */
const restMs = 120_000;

interface RunningLedger {
  readonly store: MemoryObjectStore;
  readonly ledger: BudgetLedger;
  isLost: boolean;
}

/**
 * Runs the workload against real ledgers, a stand-in of the platform and a manual clock.
 *
 * @param options - workload, case and policy
 * @returns what callers and the platform saw
 *
 * @example
 * const { refused } = await runPolicy({ requests, budgets, faultCase, seed, makePolicy });
 */
export async function runPolicy(options: PolicyRun): Promise<PolicyOutcome> {
  const fleet = new LedgerFleet(options);
  return fleet.run();
}

class LedgerFleet {
  readonly #options: PolicyRun;
  readonly #clock = new ManualClock();
  readonly #platform = new MemoryPlatform(this.#clock, 0, { isSharing: true });
  readonly #network = new LocalGrantNetwork({
    clock: this.#clock,
    isConnected: (from, to) => this.#areConnected(from, to),
  });
  readonly #slots: RunningLedger[] = [];
  readonly #refused = new Set<number>();
  readonly #generatedTokens = new Map<string, number>();
  #started = 0;

  constructor(options: PolicyRun) {
    this.#options = options;
    for (let slot = 0; slot < instanceCount; slot += 1) this.#slots.push(this.#start(slot));
  }

  async run(): Promise<PolicyOutcome> {
    const { requests, faultCase } = this.#options;
    for (const request of requests) {
      this.#clock.schedule(request.atMs, () => void this.#serve(request));
    }
    this.#scheduleFaults(faultCase);
    await this.#clock.advance(runMs + restMs);
    const calls = { ...this.#platform.calls };
    const { overspendTokens, strandedTokens } = await this.#audit();
    return { refused: this.#refused, overspendTokens, strandedTokens, calls };
  }

  #start(slot: number): RunningLedger {
    this.#started += 1;
    const store = new MemoryObjectStore(this.#platform, this.#clock);
    store.link.delayMs = storeDelayMs;
    const instanceId = `i${slot}-${this.#started}` as InstanceId;
    const ledger = new BudgetLedger({
      store,
      clock: this.#clock,
      random: createRandom(this.#options.seed * 1_000 + this.#started),
      instanceId,
      peers: this.#network.peersOf(instanceId),
      incarnation: String(this.#started),
      policy: this.#options.makePolicy(),
    });
    return { store, ledger, isLost: false };
  }

  #scheduleFaults(faultCase: FaultCase): void {
    const { partition, outage, topUpAtMs } = faultCase;
    for (const edgeMs of [partition, outage].flatMap((span) => [span?.fromMs, span?.untilMs])) {
      if (edgeMs !== undefined)
        this.#clock.schedule(edgeMs, () => {
          this.#setLinks();
        });
    }
    if (topUpAtMs !== undefined) this.#clock.schedule(topUpAtMs, () => void this.#topUp());
    for (let slot = 0; slot < instanceCount; slot += 1) {
      for (const lostMs of lossTimesMs(slot, runMs, faultCase)) {
        this.#clock.schedule(lostMs, () => {
          this.#lose(slot);
        });
        this.#clock.schedule(lostMs + replaceAfterMs, () => {
          this.#slots[slot] = this.#start(slot);
        });
      }
    }
  }

  #setLinks(): void {
    const { partition, outage } = this.#options.faultCase;
    const nowMs = this.#clock.monotonicMs();
    for (const [slot, { store }] of this.#slots.entries()) {
      const isAway = isWithin(partition, nowMs) && cutOffInstances.has(slot);
      store.link.isDown = isAway || isWithin(outage, nowMs);
    }
  }

  #lose(slot: number): void {
    const lost = this.#slots[slot];
    if (lost === undefined) return;
    lost.isLost = true;
    lost.store.link.isDown = true;
    lost.ledger[Symbol.dispose]();
  }

  #areConnected(from: InstanceId, to: InstanceId): boolean {
    if (!isWithin(this.#options.faultCase.partition, this.#clock.monotonicMs())) return true;
    return isCutOff(from) === isCutOff(to);
  }

  async #topUp(): Promise<void> {
    const store = new MemoryObjectStore(this.#platform, this.#clock);
    for (const budget of this.#options.budgets) {
      await topUpBudget(store, this.#clock, budget, 'top-up-1', topUpTokensOf(budget));
    }
  }

  async #serve(request: WorkloadRequest): Promise<void> {
    const { slot } = placeRequest(request, this.#options.faultCase);
    const instance = this.#slots[slot];
    if (instance === undefined) return;
    const reservation = await this.#reserve(instance, request);
    if (reservation === undefined) return;
    const startedMs = this.#clock.monotonicMs();
    await this.#clock.sleep(request.durationMs);
    const share = instance.isLost ? this.#shareGenerated(request, slot, startedMs) : 1;
    this.#countGenerated(request, Math.ceil(request.actualTokens * share));
    if (instance.isLost) return;
    await instance.ledger.settle(reservation, {
      requestKey: `k${request.index}` as RequestKey,
      requestId: `r${request.index}` as RequestId,
      bodyDigest: 'd',
      tokens: request.actualTokens,
    });
  }

  async #reserve(
    instance: RunningLedger,
    request: WorkloadRequest,
  ): Promise<Reservation | undefined> {
    try {
      return await instance.ledger.reserve(request.budget, request.worstCaseTokens);
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      this.#refused.add(request.index);
      return undefined;
    }
  }

  /** A lost instance stopped its streams when it was lost. */
  #shareGenerated(request: WorkloadRequest, slot: number, startedMs: number): number {
    const lostMs = lossTimesMs(slot, runMs, this.#options.faultCase).find(
      (atMs) => atMs >= startedMs,
    );
    return lostMs === undefined ? 1 : (lostMs - startedMs) / request.durationMs;
  }

  #countGenerated(request: WorkloadRequest, tokens: number): void {
    const { budgetId } = request.budget;
    this.#generatedTokens.set(budgetId, (this.#generatedTokens.get(budgetId) ?? 0) + tokens);
  }

  /** Compares what was generated, not what the ledgers say of themselves, with what was prepaid. */
  async #audit(): Promise<{ overspendTokens: number; strandedTokens: number }> {
    const store = new MemoryObjectStore(this.#platform, this.#clock);
    let overspendTokens = 0;
    let strandedTokens = 0;
    for (const budget of this.#options.budgets) {
      const status = await readBudget(store, budget);
      const spentTokens = Math.max(
        status.settledTokens,
        this.#generatedTokens.get(budget.budgetId) ?? 0,
      );
      overspendTokens += Math.max(0, spentTokens - status.prepaidTokens);
      strandedTokens += status.grantedTokens;
    }
    return { overspendTokens, strandedTokens };
  }
}

/** The instance's name begins with its number. */
function isCutOff(instanceId: InstanceId): boolean {
  return cutOffInstances.has(Number(instanceId.slice(1).split('-')[0]));
}
