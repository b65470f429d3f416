import { topUpShare, type FaultCase } from '../cases/index.js';
import { CentralCounter } from '../CentralCounter/index.js';
import { placeRequest, type Placement } from '../placeRequest/index.js';
import type { WorkloadRequest } from '../workload/index.js';
import type { BudgetRef } from '@acaciacrank/ledger';

/** Options of {@link runOracle}. */
export interface OracleOptions {
  readonly requests: readonly WorkloadRequest[];
  readonly budgets: readonly BudgetRef[];
  readonly faultCase: FaultCase;
  /** Whether each side of the partition decides only with the information that it has. */
  readonly isOneSided: boolean;
}

interface SimulationEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * Simulates admission by a central counter without latency, as a baseline for the policies.
 *
 * @param options - requests, budgets and the fault case
 * @returns the indexes of the admitted requests
 *
 * @example
 * const admitted = runOracle({ requests, budgets, faultCase, isOneSided: false });
 */
export function runOracle(options: OracleOptions): ReadonlySet<number> {
  const { requests, budgets, faultCase } = options;
  const counter = new CentralCounter(budgets);
  const admitted = new Set<number>();
  const events = [
    ...createFaultEvents(options, counter),
    ...requests.flatMap((request) => {
      const placement = placeRequest(request, faultCase);
      return createRequestEvents(request, placement, counter, admitted);
    }),
  ];
  for (const event of events.sort((a, b) => a.atMs - b.atMs)) event.run();
  return admitted;
}

/** Size of a budget's top-up in the top-up case, in tokens. */
export function topUpTokensOf(budget: BudgetRef): number {
  return Math.round(budget.openingTokens * topUpShare);
}

function createFaultEvents(options: OracleOptions, counter: CentralCounter): SimulationEvent[] {
  const { budgets, faultCase, isOneSided } = options;
  const events: SimulationEvent[] = [];
  const { partition, topUpAtMs } = faultCase;
  if (isOneSided && partition !== undefined) {
    events.push({
      atMs: partition.fromMs,
      run: () => {
        counter.split();
      },
    });
    events.push({
      atMs: partition.untilMs,
      run: () => {
        counter.heal();
      },
    });
  }
  if (topUpAtMs !== undefined) {
    const run = () => {
      for (const budget of budgets) counter.topUp(budget.budgetId, topUpTokensOf(budget));
    };
    events.push({ atMs: topUpAtMs, run });
  }
  return events;
}

function createRequestEvents(
  request: WorkloadRequest,
  placement: Placement,
  counter: CentralCounter,
  admitted: Set<number>,
): SimulationEvent[] {
  const { budgetId } = request.budget;
  const endMs = placement.lostAtMs ?? request.atMs + request.durationMs;
  const usedTokens = placement.lostAtMs === undefined ? request.actualTokens : 0;
  const reserve = () => {
    const isReserved = counter.reserve(budgetId, placement.side, request.worstCaseTokens);
    if (isReserved) admitted.add(request.index);
  };
  const release = () => {
    if (!admitted.has(request.index)) return;
    counter.giveBack(budgetId, placement.side, request.worstCaseTokens - usedTokens);
  };
  return [
    { atMs: request.atMs, run: reserve },
    { atMs: endMs, run: release },
  ];
}
