/**
 * Measures how the size, CPU time and store calls of the ledger grow with its load and contents.
 */
import type { ResultRow } from '../../printTable/index.js';
import { measureCalls, type CallsSetting } from './_lib/measureCalls/index.js';
import { heapBytes, makePage, measureCosts, pageBytes } from './_lib/measureCosts/index.js';

const loads = [2, 20, 100, 300];
const settings: readonly CallsSetting[] = [
  ...loads.map((requestsPerSecond) => createSetting({ requestsPerSecond, groupCommitMs: 0 })),
  ...loads.map((requestsPerSecond) => createSetting({ requestsPerSecond })),
  ...loads.map((requestsPerSecond) => createSetting({ requestsPerSecond, groupCommitMs: 200 })),
  ...[1, 3].map((instances) => createSetting({ instances })),
  ...[1, 40, 400].map((budgets) => createSetting({ budgets })),
];

const emptyRow = {
  measure: '',
  requestsPerSecond: null,
  instances: null,
  budgets: null,
  groupCommitMs: null,
  keysInPage: null,
  billsTogether: null,
  pageBytes: null,
  heapBytes: null,
  cpuMicroseconds: null,
  storeWritesPer1000Requests: null,
  storeReadsPer1000Requests: null,
  storeCallsPerSecond: null,
  billWaitMs: null,
} as const;

/** Runs all measurements; takes well under a minute. */
export async function run(): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [...sizeRows()];
  for (const [keysInPage, billsTogether] of costSettings) {
    const costs = await measureCosts(keysInPage, billsTogether);
    const shared = { ...emptyRow, keysInPage, billsTogether };
    rows.push({ ...shared, measure: 'reserve', cpuMicroseconds: round(costs.reserveMicroseconds) });
    rows.push({ ...shared, measure: 'settle', cpuMicroseconds: round(costs.settleMicroseconds) });
  }
  for (const callsSetting of settings) {
    rows.push({
      ...emptyRow,
      measure: 'storeCalls',
      ...callsSetting,
      ...(await measureCalls(callsSetting)),
    });
  }
  return rows;
}

const costSettings: readonly (readonly [number, number])[] = [
  [0, 1],
  [1_000, 1],
  [4_000, 20],
  [1_000, 20],
];

function createSetting(changes: Partial<CallsSetting>): CallsSetting {
  return { requestsPerSecond: 100, instances: 5, budgets: 10, groupCommitMs: 50, ...changes };
}

/** Size of one additional budget, grant or request key. */
function sizeRows(): ResultRow[] {
  const count = 1_000;
  const baseline = makePage(1, 0, 0);
  const pages = {
    budget: makePage(1 + count, 0, 0),
    grant: makePage(1, count, 0),
    key: makePage(1, 0, count),
  };
  return Object.entries(pages).map(([measure, page]) => ({
    ...emptyRow,
    measure,
    pageBytes: round((pageBytes(page) - pageBytes(baseline)) / count),
    heapBytes: round((heapBytes(page) - heapBytes(baseline)) / count),
  }));
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
