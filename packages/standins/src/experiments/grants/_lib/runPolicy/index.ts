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
import {
  cutOffInstances,
  instanceCount,
  isWithinSpan,
  runMs,
  type FaultCase,
} from '../cases/index.js';
import { lossTimesMs, placeRequest, replacementDelayMs } from '../placeRequest/index.js';
import { topUpTokensOf } from '../runOracle/index.js';
import type { WorkloadRequest } from '../workload/index.js';

/** Options of {@link runPolicy}. */
export interface PolicyRunOptions {
  readonly requests: readonly WorkloadRequest[];
  readonly budgets: readonly BudgetRef[];
  readonly faultCase: FaultCase;
  readonly seed: number;
  readonly makePolicy: () => GrantPolicy;
}

/** Result of one run. */
export interface PolicyOutcome {
  readonly refused: ReadonlySet<number>;
  /** Tokens generated or settled beyond the prepaid tokens, summed over all budgets. */
  readonly overspendTokens: number;
  /** Tokens that are still granted to instances at the audit, summed over all budgets. */
  readonly strandedTokens: number;
  readonly calls: PlatformCalls;
}

/** Latency of one store call, in milliseconds. */
const storeDelayMs = 4;
/** Time between the end of arrivals and the audit of the budgets, in milliseconds. */
const auditDelayMs = 120_000;

interface RunningLedger {
  readonly store: MemoryObjectStore;
  readonly ledger: BudgetLedger;
  isLost: boolean;
}

/**
 * Runs the workload against real ledgers with a fake platform, in virtual time.
 *
 * @param options - workload, fault case and policy
 * @returns the refused requests, the budget totals and the number of store calls
 *
 * @example
 * const { refused } = await runPolicy({ requests, budgets, faultCase, seed, makePolicy });
 */
export async function runPolicy(options: PolicyRunOptions): Promise<PolicyOutcome> {
  const fleet = new LedgerFleet(options);
  return fleet.run();
}

class LedgerFleet {
  readonly #options: PolicyRunOptions;
  readonly #clock = new ManualClock();
  readonly #platform = new MemoryPlatform(this.#clock, 0, { isSharing: true });
  readonly #network = new LocalGrantNetwork({
    clock: this.#clock,
    isConnected: (from, to) => this.#areConnected(from, to),
  });
  readonly #slots: RunningLedger[] = [];
  readonly #refused = new Set<number>();
  readonly #generatedTokens = new Map<string, number>();
  #startCount = 0;

  constructor(options: PolicyRunOptions) {
    this.#options = options;
    for (let slot = 0; slot < instanceCount; slot += 1) this.#slots.push(this.#startLedger(slot));
  }

  async run(): Promise<PolicyOutcome> {
    const { requests, faultCase } = this.#options;
    for (const request of requests) {
      this.#clock.schedule(request.atMs, () => void this.#serve(request));
    }
    this.#scheduleFaults(faultCase);
    await this.#clock.advance(runMs + auditDelayMs);
    const calls = { ...this.#platform.calls };
    const { overspendTokens, strandedTokens } = await this.#audit();
    return { refused: this.#refused, overspendTokens, strandedTokens, calls };
  }

  #startLedger(slot: number): RunningLedger {
    this.#startCount += 1;
    const store = new MemoryObjectStore(this.#platform, this.#clock);
    store.link.delayMs = storeDelayMs;
    const instanceId = `i${slot}-${this.#startCount}` as InstanceId;
    const ledger = new BudgetLedger({
      store,
      clock: this.#clock,
      random: createRandom(this.#options.seed * 1_000 + this.#startCount),
      instanceId,
      peers: this.#network.peersOf(instanceId),
      incarnation: String(this.#startCount),
      policy: this.#options.makePolicy(),
    });
    return { store, ledger, isLost: false };
  }

  #scheduleFaults(faultCase: FaultCase): void {
    const { partition, outage, topUpAtMs } = faultCase;
    for (const transitionMs of [partition, outage].flatMap((span) => [
      span?.fromMs,
      span?.untilMs,
    ])) {
      if (transitionMs !== undefined)
        this.#clock.schedule(transitionMs, () => {
          this.#updateStoreLinks();
        });
    }
    if (topUpAtMs !== undefined) this.#clock.schedule(topUpAtMs, () => void this.#topUpBudgets());
    for (let slot = 0; slot < instanceCount; slot += 1) {
      for (const lostMs of lossTimesMs(slot, runMs, faultCase)) {
        this.#clock.schedule(lostMs, () => {
          this.#loseInstance(slot);
        });
        this.#clock.schedule(lostMs + replacementDelayMs, () => {
          this.#slots[slot] = this.#startLedger(slot);
        });
      }
    }
  }

  #updateStoreLinks(): void {
    const { partition, outage } = this.#options.faultCase;
    const nowMs = this.#clock.monotonicMs();
    for (const [slot, { store }] of this.#slots.entries()) {
      const isPartitioned = isWithinSpan(partition, nowMs) && cutOffInstances.has(slot);
      store.link.isDown = isPartitioned || isWithinSpan(outage, nowMs);
    }
  }

  #loseInstance(slot: number): void {
    const lost = this.#slots[slot];
    if (lost === undefined) return;
    lost.isLost = true;
    lost.store.link.isDown = true;
    lost.ledger[Symbol.dispose]();
  }

  #areConnected(from: InstanceId, to: InstanceId): boolean {
    if (!isWithinSpan(this.#options.faultCase.partition, this.#clock.monotonicMs())) return true;
    return isCutOff(from) === isCutOff(to);
  }

  async #topUpBudgets(): Promise<void> {
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
    const generatedShare = instance.isLost ? this.#generatedShare(request, slot, startedMs) : 1;
    this.#addGeneratedTokens(request, Math.ceil(request.actualTokens * generatedShare));
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

  /** Fraction of the answer that was generated before its instance was lost, which ends all streams. */
  #generatedShare(request: WorkloadRequest, slot: number, startedMs: number): number {
    const lostMs = lossTimesMs(slot, runMs, this.#options.faultCase).find(
      (atMs) => atMs >= startedMs,
    );
    return lostMs === undefined ? 1 : (lostMs - startedMs) / request.durationMs;
  }

  #addGeneratedTokens(request: WorkloadRequest, tokens: number): void {
    const { budgetId } = request.budget;
    this.#generatedTokens.set(budgetId, (this.#generatedTokens.get(budgetId) ?? 0) + tokens);
  }

  /**
   * Computes overspend from the tokens that were really generated, not only from those that the
   * ledgers report as settled.
   */
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

/** The id has the form `i<index>-<start count>`. */
function isCutOff(instanceId: InstanceId): boolean {
  return cutOffInstances.has(Number(instanceId.slice(1).split('-')[0]));
}
