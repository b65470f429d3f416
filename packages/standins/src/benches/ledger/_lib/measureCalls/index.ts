import { createRandom, ManualClock, type InstanceId } from '@acaciacrank/base';
import { BudgetLedger, DemandGrantPolicy } from '@acaciacrank/ledger';
import { LocalGrantNetwork } from '../../../../LocalGrantNetwork/index.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { benchBudget, benchRequest } from '../benchBudget/index.js';

/** Parameters of one measurement. */
export interface CallsSetting {
  readonly requestsPerSecond: number;
  readonly instances: number;
  readonly budgets: number;
  readonly groupCommitMs: number;
}

/** Store calls and latency of one measurement. */
export interface MeasuredCalls {
  readonly storeWritesPer1000Requests: number;
  readonly storeReadsPer1000Requests: number;
  readonly storeCallsPerSecond: number;
  /** Mean time until a settlement was durable. */
  readonly billWaitMs: number;
}

const durationMs = 10_000;
const requestMs = 1_000;
const storeDelayMs = 4;

/**
 * Counts the store calls of a workload in virtual time.
 *
 * @param setting - load and size
 * @returns store calls per 1,000 requests and per second, and the mean settlement latency
 */
export async function measureCalls(setting: CallsSetting): Promise<MeasuredCalls> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock, 0, { isSharing: true });
  const ledgers = startLedgers(setting, clock, platform);
  const random = createRandom(1);
  let requests = 0;
  let totalBillWaitMs = 0;
  const serve = async (index: number) => {
    const ledger = ledgers[Math.floor(random() * ledgers.length)] as BudgetLedger;
    const budget = benchBudget(Math.floor(random() * setting.budgets));
    const reservation = await ledger.reserve(budget, 500);
    await clock.sleep(requestMs);
    const endedMs = clock.monotonicMs();
    await ledger.settle(reservation, benchRequest(budget, index));
    totalBillWaitMs += clock.monotonicMs() - endedMs;
  };
  const gapMs = 1_000 / setting.requestsPerSecond;
  for (let atMs = 0; atMs < durationMs; atMs += gapMs * 2 * random()) {
    requests += 1;
    const index = requests;
    clock.schedule(atMs, () => void serve(index));
  }
  await clock.advance(durationMs + 10_000);
  for (const ledger of ledgers) ledger[Symbol.dispose]();
  const { reads, writes } = platform.calls;
  return {
    storeWritesPer1000Requests: Math.round((1_000 * writes) / requests),
    storeReadsPer1000Requests: Math.round((1_000 * reads) / requests),
    storeCallsPerSecond: Math.round(((reads + writes) * 1_000) / durationMs),
    billWaitMs: Math.round((10 * totalBillWaitMs) / requests) / 10,
  };
}

function startLedgers(
  { instances, groupCommitMs }: CallsSetting,
  clock: ManualClock,
  platform: MemoryPlatform,
): BudgetLedger[] {
  const network = new LocalGrantNetwork({ clock });
  return Array.from({ length: instances }, (_, index) => {
    const store = new MemoryObjectStore(platform, clock);
    store.link.delayMs = storeDelayMs;
    const instanceId = `entry-${index + 1}` as InstanceId;
    return new BudgetLedger({
      store,
      clock,
      random: createRandom(index + 1),
      instanceId,
      incarnation: '1',
      policy: new DemandGrantPolicy(),
      peers: network.peersOf(instanceId),
      groupCommitMs,
      maxKeysPerPage: 1_000_000,
      maxOpenRequestsPerPage: 1_000_000,
      maxOpenRequests: 1_000_000,
    });
  });
}
