/**
 * Simulates, in virtual time, instances that share the prepaid tokens of one account, for failure
 * tests.
 */
import {
  ManualClock,
  createRandom,
  type AccountId,
  type Clock,
  type FailureDomainId,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import { Registrations, RestoreWitness } from '@acaciacrank/fleet';
import { PrepaidAccounts, prepaidPageKey, type ProcessRun } from '@acaciacrank/ledger';
import {
  MemoryObjectStore,
  MemoryPlatform,
  revisionOf,
  type ObjectStore,
  type PlatformCopy,
  type WriteCondition,
} from '@acaciacrank/store';
import { LocalLoanNetwork } from '../../LocalLoanNetwork/index.js';
import { UnreliableStore } from '../UnreliableStore/index.js';

/** The account that all instances share. */
export const accountId = 'one' as AccountId;
/** Key of the account's page in the store. */
export const pageKey = prepaidPageKey(accountId);

/** One process run of an instance that spends the account's tokens. */
export interface Holder {
  readonly ledger: PrepaidAccounts;
  /**
   * Failure of the instance's store: `isUnavailable` fails all calls; `isUndetected` means that the
   * instance does not know this yet.
   */
  readonly cut: { isUnavailable: boolean; isUndetected: boolean };
  readonly run: Promise<void>;
  readonly processRun: ProcessRun;
  spentTokens: number;
  /** Ends the process without returning tokens, as a power loss does. */
  readonly stop: () => void;
}

/** A store and the instances that share one account's tokens. */
export interface PrepaidSimulation {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  readonly random: Random;
  readonly network: LocalLoanNetwork;
  /** Ids of instances whose links to all others are cut. */
  readonly isolated: Set<string>;
  /** Every holder that was started, the stopped ones included. */
  readonly holders: Holder[];
  /** Whether instances register, so that they can account for a restore of the store. */
  readonly isRestorable: boolean;
  /** Number of instances that each instance knows of from the store's list. */
  instanceCount: number;
  prepaidTokens: number;
  spentTokens: number;
}

/** Creates a simulation without instances, whose store may return from an older copy. */
export function createRestorableSimulation(seed: number, prepaidTokens: number): PrepaidSimulation {
  return { ...createSimulation(seed, prepaidTokens), isRestorable: true };
}

/**
 * Creates a simulation without instances.
 *
 * @param messageLossProbability - share of the messages between instances that is lost, 0 to 1
 */
export function createSimulation(
  seed: number,
  prepaidTokens: number,
  messageLossProbability = 0,
): PrepaidSimulation {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const random = createRandom(seed);
  const isolated = new Set<string>();
  const network = new LocalLoanNetwork({
    clock,
    random,
    lossRatio: messageLossProbability,
    isConnected: (id) => !isolated.has(id),
  });
  return {
    clock,
    platform,
    random,
    network,
    isolated,
    holders: [],
    isRestorable: false,
    instanceCount: 1,
    prepaidTokens,
    spentTokens: 0,
  };
}

let runCount = 0;

/**
 * Starts a new process run of an instance.
 *
 * @param instance - number of the instance; the same number again is a restart
 * @param faults - probabilities that a write to the store loses its response (`lost`), or is applied
 * seconds late (`late`)
 */
export function startHolder(
  simulation: PrepaidSimulation,
  instance: number,
  faults: { lost: number; late: number },
): Holder {
  const { clock, platform, random } = simulation;
  const cut = { isUnavailable: false, isUndetected: false };
  runCount += 1;
  const processRun: ProcessRun = {
    instanceId: `i${instance}` as InstanceId,
    runId: `run${runCount}`,
  };
  const store = new UnreliableStore(new MemoryObjectStore(platform, clock), {
    clock,
    random,
    lostResponseProbability: faults.lost,
    delayedWriteProbability: faults.late,
    isUnavailable: () => cut.isUnavailable,
    executeLate: (key, value, condition) => {
      executeLate(platform, key, value, condition);
    },
  });
  const witness = new RestoreWitness({
    clock,
    isFirstStart: clock.monotonicMs() === 0,
    ownAccountedEpoch: () => ledger.accountedEpoch,
  });
  const registrations = simulation.isRestorable
    ? startRegistrations(store, clock, processRun, witness)
    : undefined;
  const ledger: PrepaidAccounts = new PrepaidAccounts({
    processRun,
    store,
    restores: {
      firstEpoch: () => witness.firstEpoch,
      isAccounted: (epoch) => witness.isAccounted(epoch),
    },
    clock,
    peers: simulation.network.peersOf(processRun.instanceId),
    onEvent: () => undefined,
    random,
    isStoreUnavailable: () => cut.isUnavailable && !cut.isUndetected,
    instanceCount: () => simulation.instanceCount,
  });
  ledger.setLimits(new Map([[accountId, simulation.prepaidTokens]]), 1);
  const stop = () => {
    cut.isUnavailable = true;
    ledger[Symbol.dispose]();
    registrations?.[Symbol.dispose]();
  };
  const holder = { ledger, cut, run: ledger.run(), processRun, spentTokens: 0, stop };
  simulation.holders.push(holder);
  return holder;
}

function startRegistrations(
  store: ObjectStore,
  clock: Clock,
  { instanceId, runId }: ProcessRun,
  witness: RestoreWitness,
): Registrations {
  const registrations = new Registrations({
    store,
    clock,
    self: {
      instanceId,
      runId,
      callerAddress: '',
      failureDomain: 'here' as FailureDomainId,
      fleetUrl: '',
      linkKey: '',
    },
    restores: () => witness.report,
    onRegistrations: (others) => {
      witness.applyRuns(store.epochs.value, others);
    },
    onList: () => undefined,
  });
  void registrations.run();
  return registrations;
}

/** Executes a write that was sent before; the platform knows revisions only, whatever their epoch was. */
function executeLate(
  platform: MemoryPlatform,
  key: string,
  value: unknown,
  condition: WriteCondition,
): void {
  if (condition.kind !== 'version') platform.write(key, value, condition);
  else platform.write(key, value, { kind: 'version', version: revisionOf(condition.version) });
}

/** Puts the store back to an older copy of it. */
export function restoreStore({ platform }: PrepaidSimulation, copy: PlatformCopy): void {
  platform.restore(copy);
}

/**
 * Spends like one request: reserves the maximum, then settles between half and all of it.
 *
 * @returns whether the tokens were reserved
 */
export async function spend(
  simulation: PrepaidSimulation,
  holder: Holder,
  tokens: number,
): Promise<boolean> {
  const { ledger } = holder;
  const outcome = await simulation.clock.runUntil(ledger.reserve(accountId, tokens));
  if (outcome !== 'reserved') return false;
  const usedTokens = Math.ceil(tokens * (0.5 + simulation.random() / 2));
  simulation.spentTokens += usedTokens;
  holder.spentTokens += usedTokens;
  ledger.settle({ accountId, tokens }, usedTokens);
  return true;
}

/** Stops all holders as a power loss does, without returning tokens, and restarts them. */
export function restartAll(simulation: PrepaidSimulation, holders: readonly Holder[]): Holder[] {
  for (const { stop } of holders) stop();
  return holders.map((_, instance) => startHolder(simulation, instance, { lost: 0, late: 0 }));
}

/**
 * Spends at all holders in turn until the account has spent `tokens` in total, or 60 requests in a row
 * were refused.
 */
export async function spendUntil(
  simulation: PrepaidSimulation,
  holders: readonly Holder[],
  tokens: number,
): Promise<void> {
  let consecutiveRefusals = 0;
  for (let step = 0; simulation.spentTokens < tokens && consecutiveRefusals < 60; step += 1) {
    await simulation.clock.advance(50);
    const holder = holders[step % holders.length];
    if (holder === undefined) return;
    consecutiveRefusals = (await spend(simulation, holder, 2_000)) ? 0 : consecutiveRefusals + 1;
  }
}
