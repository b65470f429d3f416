/**
 * Compares grant policies under the workloads of both deployments with injected faults, in virtual
 * time.
 */
import {
  DemandGrantPolicy,
  EqualSplitGrantPolicy,
  FixedGrantPolicy,
  type GrantPolicy,
} from '@acaciacrank/ledger';
import type { ResultRow } from '../../printTable/index.js';
import { faultCases, runMs, type FaultCase } from './_lib/cases/index.js';
import { runOracle } from './_lib/runOracle/index.js';
import { runPolicy } from './_lib/runPolicy/index.js';
import {
  budgetsOf,
  deployments,
  drawWorkload,
  type Deployment,
  type WorkloadRequest,
} from './_lib/workload/index.js';

const requestsPerSecond = 2;
const seedsPerCase = 2;

const policies: readonly (() => GrantPolicy)[] = [
  () => new FixedGrantPolicy(),
  () => new EqualSplitGrantPolicy(),
  () => new DemandGrantPolicy(),
];
const defaultPolicy = 'demand';

/** One row of the result table. */
interface GrantRow {
  readonly deployment: string;
  readonly policy: string;
  readonly isDefault: boolean;
  readonly case: string;
  readonly seed: number;
  readonly requests: number;
  readonly overspendTokens: number;
  readonly falseRefusalPercent: number;
  readonly strandedTokens: number;
  readonly storeWritesPer1000Requests: number;
  readonly storeReadsPer1000Requests: number;
}

/**
 * Runs all policies and both oracles (ideal central counters, one of them divided by the partition) for
 * each deployment, fault case and seed.
 *
 * @param options - the first seed
 * @returns one row for each run
 */
export async function run(options: { readonly seed: number }): Promise<readonly ResultRow[]> {
  const rows: GrantRow[] = [];
  for (const deployment of deployments) {
    for (const faultCase of faultCases) {
      for (let offset = 0; offset < seedsPerCase; offset += 1) {
        rows.push(...(await runSeed(deployment, faultCase, options.seed + offset)));
      }
    }
  }
  return rows.map((row) => ({ ...row }));
}

/** Runs both oracles and all policies on one workload. */
export async function runSeed(
  deployment: Deployment,
  faultCase: FaultCase,
  seed: number,
): Promise<GrantRow[]> {
  const size = { seed, durationMs: runMs, requestsPerSecond };
  const requests = drawWorkload(deployment, size);
  const budgets = budgetsOf(deployment, size);
  const runInputs = { requests, budgets, faultCase };
  const admittedByCentral = runOracle({ ...runInputs, isOneSided: false });
  const admittedByOneSided = runOracle({ ...runInputs, isOneSided: true });
  const sharedColumns = {
    deployment: deployment.name,
    case: faultCase.name,
    seed,
    requests: requests.length,
  };
  const refusedByOneSided = new Set(
    requests.map(({ index }) => index).filter((index) => !admittedByOneSided.has(index)),
  );
  const rows: GrantRow[] = [
    createOracleRow(sharedColumns, 'oracleCentral', 0),
    createOracleRow(
      sharedColumns,
      'oracleOneSide',
      falseRefusalPercent(refusedByOneSided, admittedByCentral),
    ),
  ];
  for (const makePolicy of policies) {
    const outcome = await runPolicy({ ...runInputs, seed, makePolicy });
    const { name } = makePolicy();
    rows.push({
      ...sharedColumns,
      policy: name,
      isDefault: name === defaultPolicy,
      overspendTokens: outcome.overspendTokens,
      falseRefusalPercent: falseRefusalPercent(outcome.refused, admittedByCentral),
      strandedTokens: outcome.strandedTokens,
      storeWritesPer1000Requests: perThousand(outcome.calls.writes, requests),
      storeReadsPer1000Requests: perThousand(outcome.calls.reads, requests),
    });
  }
  return rows;
}

/** An oracle strands no tokens and makes no store calls. */
function createOracleRow(
  sharedColumns: Pick<GrantRow, 'deployment' | 'case' | 'seed' | 'requests'>,
  policy: string,
  percent: number,
): GrantRow {
  return {
    ...sharedColumns,
    policy,
    isDefault: false,
    overspendTokens: 0,
    falseRefusalPercent: percent,
    strandedTokens: 0,
    storeWritesPer1000Requests: 0,
    storeReadsPer1000Requests: 0,
  };
}

/** Percentage of the requests admitted by a central counter that were refused. */
function falseRefusalPercent(
  refused: ReadonlySet<number>,
  admittedByCentral: ReadonlySet<number>,
): number {
  const falseRefusals = [...refused].filter((index) => admittedByCentral.has(index)).length;
  return round((100 * falseRefusals) / Math.max(1, admittedByCentral.size));
}

function perThousand(calls: number, requests: readonly WorkloadRequest[]): number {
  return round((1_000 * calls) / Math.max(1, requests.length));
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
