/**
 * Load of the demonstration: sends traffic, then compares the ledger with the records of the fake upstreams.
 */
import { SystemClock, type AccountId, type BudgetId } from '@acaciacrank/base';
import { readBudget } from '@acaciacrank/ledger';
import { environmentList } from '@acaciacrank/operators';
import { PlatformObjectStore } from '@acaciacrank/platform';
import { StoredInstanceList, type ListedInstance, type ObjectStore } from '@acaciacrank/store';
import { request } from 'undici';
import { compareWithRecords, type StandinRecords } from '../compareWithRecords/index.js';
import { runLoad } from '../runLoad/index.js';
import type { EngineRecord } from '../StandinEngine/index.js';
import type { ServiceRun } from '../StandinService/index.js';
import { formatReport } from './report.js';
import { demoTraffic } from './traffic.js';

const budgets = [
  { accountId: 'wellington', budgetId: 'wellington-2026' },
  { accountId: 'envigado', budgetId: 'envigado-2026' },
].map(({ accountId, budgetId }) => ({
  accountId: accountId as AccountId,
  budgetId: budgetId as BudgetId,
  openingTokens: 0,
}));

/**
 * Sends the load and prints the results.
 *
 * @param platformUrl - `http://IP:PORT` of the fake platform
 * @param durationMs - how long to send requests, in milliseconds
 * @returns whether the ledger is correct and at least one request was answered
 */
export async function runDemoLoad(platformUrl: string, durationMs: number): Promise<boolean> {
  const clock = new SystemClock();
  const store = new PlatformObjectStore({ url: platformUrl, clock });
  const list = new StoredInstanceList(store);
  const listed = await environmentList(list, 'demo').read();
  const urls = listed.filter((entry) => entry.role === 'entry').map((entry) => entry.url);
  const outcomes = await runLoad({ urls, traffic: demoTraffic, durationMs });
  const statuses = await Promise.all(budgets.map((budget) => readBudget(store, budget)));
  process.stdout.write(`${formatReport(outcomes, statuses)}\n\n`);
  const mismatches = compareWithRecords(await readRecords(listed, store));
  for (const mismatch of mismatches)
    process.stdout.write(`FAULT ${mismatch.kind}: ${mismatch.what}\n`);
  const answered = outcomes.reduce((sum, outcome) => sum + outcome.answered, 0);
  const verdict =
    mismatches.length === 0
      ? 'the ledger matches the records of the fake upstreams'
      : 'the ledger does not match the records of the fake upstreams';
  process.stdout.write(`${answered} answered; ${verdict}\n`);
  return mismatches.length === 0 && answered > 0;
}

async function readRecords(
  listed: readonly ListedInstance[],
  store: ObjectStore,
): Promise<StandinRecords> {
  const engines = listed.filter((entry) => entry.role === 'engine');
  const services = listed.filter((entry) => entry.role === 'service');
  return {
    objects: await store.list('ledger/'),
    engineRecords: (
      await Promise.all(engines.map((entry) => readJson<EngineRecord[]>(entry)))
    ).flat(),
    serviceRuns: (await Promise.all(services.map((entry) => readJson<ServiceRun[]>(entry)))).flat(),
  };
}

async function readJson<Value>(entry: ListedInstance): Promise<Value> {
  return (await (await request(`${entry.url}/records`)).body.json()) as Value;
}
