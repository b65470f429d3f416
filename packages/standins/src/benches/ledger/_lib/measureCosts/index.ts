import { createRandom, SystemClock, type GrantId, type InstanceId } from '@acaciacrank/base';
import {
  applyOperation,
  BudgetLedger,
  DemandGrantPolicy,
  emptyPage,
  type BudgetRef,
  type LedgerPage,
  type Reservation,
} from '@acaciacrank/ledger';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { benchBudget, benchRequest } from '../benchBudget/index.js';

const applyOptions = { nowMs: 1_000, graceMs: 1_000, keyProtectionMs: Infinity };

/** Creates a page with some budgets, the first of which has some grants and request keys. */
export function makePage(budgets: number, grants: number, keys: number): LedgerPage {
  let page = emptyPage;
  for (let index = 0; index < budgets; index += 1) {
    const operation = { kind: 'topUp', budget: benchBudget(index), topUpId: 'invoice-1' } as const;
    page = applyOperation(page, { ...operation, tokens: 1_000 }, applyOptions).page;
  }
  const budget = benchBudget(0);
  for (let index = 0; index < grants; index += 1) page = addGrant(page, budget, index);
  for (let index = 0; index < keys; index += 1) {
    const billOperation = {
      kind: 'bill',
      budget,
      parts: [],
      ...benchRequest(budget, index),
    } as const;
    page = applyOperation(page, billOperation, applyOptions).page;
  }
  return page;
}

function addGrant(page: LedgerPage, budget: BudgetRef, index: number): LedgerPage {
  const grant = {
    kind: 'grant',
    budget,
    grantId: `entry-1.27c8x3bwg0.${index}` as GrantId,
    holder: 'entry-1' as InstanceId,
    minTokens: 1_000,
    wantedTokens: 1_000,
    maxShare: 1,
    maxTotalShare: 1,
    unreachableWeight: 1,
    reachable: undefined,
    expiresAtMs: 1_700_000_000_000,
  } as const;
  return applyOperation(page, grant, applyOptions).page;
}

/** Size of a page in the store, in bytes. */
export function pageBytes(page: LedgerPage): number {
  return Buffer.byteLength(JSON.stringify(page));
}

/** Heap that a page takes after it was read from the store, in bytes. */
export function heapBytes(page: LedgerPage): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const text = JSON.stringify(page);
  collectGarbage();
  const beforeBytes = process.memoryUsage().heapUsed;
  const copies = Array.from({ length: 10 }, () => JSON.parse(text) as LedgerPage);
  collectGarbage();
  const afterBytes = process.memoryUsage().heapUsed;
  return (afterBytes - beforeBytes) / copies.length;
}

/** CPU time of one reservation and of one settlement. */
export interface MeasuredCosts {
  readonly reserveMicroseconds: number;
  readonly settleMicroseconds: number;
}

/**
 * Measures CPU time with an in-process platform that does not copy stored values.
 *
 * @param keys - number of request keys in the page at the start
 * @param batchSize - number of settlements that are written in one update
 */
export async function measureCosts(keys: number, batchSize: number): Promise<MeasuredCosts> {
  const clock = new SystemClock();
  const platform = new MemoryPlatform(clock, 0, { isSharing: true });
  using ledger = new BudgetLedger({
    store: new MemoryObjectStore(platform, clock),
    clock,
    random: createRandom(1),
    instanceId: 'entry-1' as InstanceId,
    incarnation: '1',
    policy: new DemandGrantPolicy(),
    maxKeysPerPage: Infinity,
    maxOpenRequestsPerPage: Infinity,
    maxOpenRequests: Infinity,
  });
  const budget = benchBudget(0);
  const requestCount = 400;
  await settleInBatches(
    ledger,
    budget,
    await reserveMany(ledger, budget, keys),
    0,
    Math.max(1, keys),
  );
  const reserveStart = process.cpuUsage();
  const reservations = await reserveMany(ledger, budget, requestCount);
  const reserveMicroseconds = cpuMicrosecondsSince(reserveStart) / requestCount;
  const settleStart = process.cpuUsage();
  await settleInBatches(ledger, budget, reservations, keys, batchSize);
  return {
    reserveMicroseconds,
    settleMicroseconds: cpuMicrosecondsSince(settleStart) / requestCount,
  };
}

async function reserveMany(ledger: BudgetLedger, budget: BudgetRef, count: number) {
  const reservations: Reservation[] = [];
  for (let index = 0; index < count; index += 1) {
    reservations.push(await ledger.reserve(budget, 500));
  }
  return reservations;
}

async function settleInBatches(
  ledger: BudgetLedger,
  budget: BudgetRef,
  reservations: readonly Reservation[],
  firstIndex: number,
  batchSize: number,
): Promise<void> {
  for (let start = 0; start < reservations.length; start += batchSize) {
    const batch = reservations.slice(start, start + batchSize);
    const settling = batch.map((reservation, index) =>
      ledger.settle(reservation, benchRequest(budget, firstIndex + start + index)),
    );
    await Promise.all(settling);
  }
}

function cpuMicrosecondsSince(start: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(start);
  return user + system;
}
