import type { RequestKey } from '@acaciacrank/base';
import { parsePage, type LedgerPage } from '@acaciacrank/ledger';
import type { StoredObject } from '@acaciacrank/store';
import type { EngineRecord } from '../StandinEngine/index.js';
import type { ServiceRun } from '../StandinService/index.js';

/** What the stand-ins truly did. */
export interface StandinRecords {
  readonly objects: readonly StoredObject[];
  readonly engineRecords: readonly EngineRecord[];
  readonly serviceRuns: readonly ServiceRun[];
}

/** One difference between what was billed and what was done. */
export interface RecordFault {
  readonly kind: 'overspend' | 'wrongBill' | 'unbilled' | 'repeatedRun';
  readonly what: string;
}

/**
 * Compares the ledger with what the stand-ins saw.
 *
 * Every engine generation that ended must have one bill over just its tokens; no budget may have
 * spent or set aside more than was prepaid; no write to a plain service may have run twice.
 *
 * @param records - what the stand-ins truly did
 * @returns the differences; empty when the books are right
 *
 * @example
 * compareWithRecords({ objects: platform.objects(), engineRecords: [], serviceRuns: [] });
 * //=> []
 */
export function compareWithRecords(records: StandinRecords): RecordFault[] {
  const pages = records.objects
    .filter((object) => object.key.startsWith('ledger/'))
    .map((object) => parsePage(object.key, object.value));
  return [
    ...pages.flatMap(overspendFaults),
    ...billFaults(pages, records.engineRecords),
    ...repeatedRuns(records.serviceRuns),
  ];
}

function overspendFaults(page: LedgerPage): RecordFault[] {
  return Object.entries(page.budgets).flatMap(([budgetId, budget]) => {
    const granted = Object.values(budget.grants).reduce((sum, grant) => sum + grant.tokens, 0);
    if (budget.settledTokens + granted <= budget.prepaidTokens) return [];
    const what = `${budgetId}: ${budget.settledTokens} + ${granted} > ${budget.prepaidTokens}`;
    return [{ kind: 'overspend', what }];
  });
}

function billFaults(
  pages: readonly LedgerPage[],
  engineRecords: readonly EngineRecord[],
): RecordFault[] {
  const bills = pages.flatMap((page) =>
    Object.values(page.budgets).flatMap((budget) => Object.entries(budget.bills)),
  );
  const byRequest = new Map(bills.map(([key, bill]) => [bill.requestId, { key, bill }]));
  return engineRecords
    .filter((record) => record.state === 'done')
    .flatMap((record): RecordFault[] => {
      const found = byRequest.get(record.requestId);
      const tokens = record.promptTokens + record.outputTokens;
      if (found === undefined) return [{ kind: 'unbilled', what: record.requestId }];
      if (found.bill.tokens === tokens) return [];
      const what = `${found.key as RequestKey}: billed ${found.bill.tokens}, generated ${tokens}`;
      return [{ kind: 'wrongBill', what }];
    });
}

function repeatedRuns(runs: readonly ServiceRun[]): RecordFault[] {
  const bodies = runs.filter((run) => run.method === 'POST').map((run) => run.body);
  const repeated = bodies.filter((body, index) => bodies.indexOf(body) !== index);
  return repeated.map((body) => ({ kind: 'repeatedRun', what: body }));
}
