/**
 * Instances that share one account's prepaid tokens, for stories of failures on virtual time.
 */
import {
  ManualClock,
  createRandom,
  type AccountId,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import { PrepaidAccounts, prepaidPageKey, type ProcessRun } from '@acaciacrank/ledger';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import { LocalLoanNetwork } from '../../LocalLoanNetwork/index.js';
import { UnreliableStore } from '../UnreliableStore/index.js';

/** The account that all instances of a world share. */
export const accountId = 'one' as AccountId;
/** Where its page lies in the store. */
export const pageKey = prepaidPageKey(accountId);

/** An instance that spends the account's tokens. */
export interface Holder {
  readonly ledger: PrepaidAccounts;
  /** What the instance is cut off from. */
  readonly cut: { isAway: boolean; isUnnoticed: boolean };
  readonly run: Promise<void>;
  readonly processRun: ProcessRun;
  spentTokens: number;
}

/** A store and the instances that share one account's tokens, on virtual time. */
export interface World {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  readonly random: Random;
  readonly network: LocalLoanNetwork;
  /** Instances that no other one reaches. */
  readonly alone: Set<string>;
  /** All holders that ever were. */
  readonly holders: Holder[];
  prepaidTokens: number;
  spentTokens: number;
}

/** Makes a world without instances; the share of messages between them that is lost can be given. */
export function createWorld(seed: number, prepaidTokens: number, lostMessages = 0): World {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const random = createRandom(seed);
  const alone = new Set<string>();
  const network = new LocalLoanNetwork({
    clock,
    random,
    lostShare: lostMessages,
    isConnected: (id) => !alone.has(id),
  });
  return { clock, platform, random, network, alone, holders: [], prepaidTokens, spentTokens: 0 };
}

let runs = 0;

/** Starts an instance, anew where it ran before; answers of the store may be lost or come late. */
export function startHolder(
  world: World,
  instance: number,
  faults: { lost: number; late: number },
): Holder {
  const { clock, platform, random } = world;
  const cut = { isAway: false, isUnnoticed: false };
  runs += 1;
  const processRun: ProcessRun = { instanceId: `i${instance}` as InstanceId, runId: `run${runs}` };
  const store = new UnreliableStore(new MemoryObjectStore(platform, clock), {
    clock,
    random,
    lostShare: faults.lost,
    lateShare: faults.late,
    isAway: () => cut.isAway,
  });
  const ledger = new PrepaidAccounts({
    processRun,
    store,
    clock,
    peers: world.network.peersOf(processRun.instanceId),
    onEvent: () => undefined,
    random,
    isStoreUnavailable: () => cut.isAway && !cut.isUnnoticed,
  });
  ledger.setLimits(new Map([[accountId, world.prepaidTokens]]), 1);
  const holder = { ledger, cut, run: ledger.run(), processRun, spentTokens: 0 };
  world.holders.push(holder);
  return holder;
}

/** Spends like one request: its most is set aside, then less or all of it is used. */
export async function spend(world: World, holder: Holder, tokens: number): Promise<boolean> {
  const { ledger } = holder;
  const outcome = await world.clock.runUntil(ledger.reserve(accountId, tokens));
  if (outcome !== 'reserved') return false;
  const used = Math.ceil(tokens * (0.5 + world.random() / 2));
  world.spentTokens += used;
  holder.spentTokens += used;
  ledger.settle({ accountId, tokens }, used);
  return true;
}

/** Ends all holders without a word, as a loss of power does, and starts their machines again. */
export function loseAll(world: World, holders: readonly Holder[]): Holder[] {
  for (const { ledger } of holders) ledger[Symbol.dispose]();
  return holders.map((_, instance) => startHolder(world, instance, { lost: 0, late: 0 }));
}

/** Asks in turn at all holders until the account has spent so much, or is refused too often. */
export async function spendUntil(
  world: World,
  holders: readonly Holder[],
  tokens: number,
): Promise<void> {
  let refusedInRow = 0;
  for (let step = 0; world.spentTokens < tokens && refusedInRow < 60; step += 1) {
    await world.clock.advance(50);
    const holder = holders[step % holders.length];
    if (holder === undefined) return;
    refusedInRow = (await spend(world, holder, 2_000)) ? 0 : refusedInRow + 1;
  }
}
