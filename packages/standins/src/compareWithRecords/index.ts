import type { RequestKey } from '@acaciacrank/base';
import { parsePage, type LedgerPage } from '@acaciacrank/ledger';
import type { StoredObject } from '@acaciacrank/store';
import type { EngineRecord } from '../StandinEngine/index.js';
import type { ServiceRun } from '../StandinService/index.js';

/** Stored ledger objects, and what the fake upstreams executed. */
export interface StandinRecords {
  readonly objects: readonly StoredObject[];
  readonly engineRecords: readonly EngineRecord[];
  readonly serviceRuns: readonly ServiceRun[];
}

/** One difference between the ledger and what the fake upstreams executed. */
export interface RecordMismatch {
  readonly kind: 'overspend' | 'wrongBill' | 'unbilled' | 'repeatedRun';
  readonly what: string;
}

/**
 * Compares the ledger with what the fake upstreams executed.
 *
 * Every completed generation must have one bill for exactly its tokens; the settled and granted tokens of
 * a budget must not exceed its prepaid tokens; no write to a plain service may have been executed twice.
 *
 * @param records - the ledger objects and the records of the upstreams
 * @returns the differences; empty if the ledger is correct
 *
 * @example
 * compareWithRecords({ objects: platform.objects(), engineRecords: [], serviceRuns: [] });
 * //=> []
 */
export function compareWithRecords(records: StandinRecords): RecordMismatch[] {
  const pages = records.objects
    .filter((object) => object.key.startsWith('ledger/'))
    .map((object) => parsePage(object.key, object.value));
  return [
    ...pages.flatMap(findOverspends),
    ...findBillMismatches(pages, records.engineRecords),
    ...findRepeatedRuns(records.serviceRuns),
  ];
}

function findOverspends(page: LedgerPage): RecordMismatch[] {
  return Object.entries(page.budgets).flatMap(([budgetId, budget]) => {
    const granted = Object.values(budget.grants).reduce((sum, grant) => sum + grant.tokens, 0);
    if (budget.settledTokens + granted <= budget.prepaidTokens) return [];
    const what = `${budgetId}: ${budget.settledTokens} + ${granted} > ${budget.prepaidTokens}`;
    return [{ kind: 'overspend', what }];
  });
}

function findBillMismatches(
  pages: readonly LedgerPage[],
  engineRecords: readonly EngineRecord[],
): RecordMismatch[] {
  const bills = pages.flatMap((page) =>
    Object.values(page.budgets).flatMap((budget) => Object.entries(budget.bills)),
  );
  const byRequest = new Map(bills.map(([key, bill]) => [bill.requestId, { key, bill }]));
  return engineRecords
    .filter((record) => record.state === 'done')
    .flatMap((record): RecordMismatch[] => {
      const found = byRequest.get(record.requestId);
      const tokens = record.promptTokens + record.outputTokens;
      if (found === undefined) return [{ kind: 'unbilled', what: record.requestId }];
      if (found.bill.tokens === tokens) return [];
      const what = `${found.key as RequestKey}: billed ${found.bill.tokens}, generated ${tokens}`;
      return [{ kind: 'wrongBill', what }];
    });
}

function findRepeatedRuns(runs: readonly ServiceRun[]): RecordMismatch[] {
  const bodies = runs.filter((run) => run.method === 'POST').map((run) => run.body);
  const repeated = bodies.filter((body, index) => bodies.indexOf(body) !== index);
  return repeated.map((body) => ({ kind: 'repeatedRun', what: body }));
}
