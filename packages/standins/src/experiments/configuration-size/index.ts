/**
 * Measures, by the size of an environment, the objects and bytes that its configuration takes in the
 * store and the store traffic that one changed account causes.
 *
 * The rows also give the size of the whole document as one object, and compare leaf sizes.
 */
import { createRandom, digestText, ManualClock } from '@acaciacrank/base';
import {
  acceptParsedDocument,
  ConfigurationWatcher,
  maxLeafBytes,
  type EnvironmentDocument,
} from '@acaciacrank/operators';
import {
  makeDocument,
  type DocumentSize,
} from '../../configuration/_lib/configurationDocument/index.js';
import { FaultyObjectStore } from '../../configuration/_lib/FaultyObjectStore/index.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';
import type { RunFunction, RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';

const sizes: readonly DocumentSize[] = [
  { accounts: 10, budgetsPerAccount: 1, largeAccounts: 2, budgetsPerLargeAccount: 2 },
  { accounts: 230, budgetsPerAccount: 210, largeAccounts: 1, budgetsPerLargeAccount: 10_000 },
  { accounts: 2_300, budgetsPerAccount: 210, largeAccounts: 5, budgetsPerLargeAccount: 20_000 },
];
/**
 * Leaf sizes that are compared, in bytes. Only the middle environment size is measured with them,
 * since each leaf size takes minutes with the largest one.
 */
const leafSizes = [2_048, 32_768];
const priorVersions = 8;
/** Configuration changes per day in the target fleet. */
const changesPerDay = 19_000;
const secondsPerDay = 86_400;

type Change = (document: EnvironmentDocument, accountIndex: number) => EnvironmentDocument;

const changes: Readonly<Record<string, Change>> = {
  rotatedKey: (document, accountIndex) =>
    mapAccount(document, accountIndex, (account) => ({
      ...account,
      keyDigests: [...account.keyDigests, digestText(`next-${accountIndex}`)],
    })),
  addedBudget: (document, accountIndex) =>
    mapAccount(document, accountIndex, (account) => ({
      ...account,
      budgets: [...account.budgets, { id: `${account.id}-added`, openingTokens: 5_000 }],
    })),
  addedAccount: (document, accountIndex) => {
    const template = document.accounts.at(-1);
    const budgets = (template?.budgets ?? []).map(({ openingTokens }, budgetIndex) => ({
      id: `new-${accountIndex}-budget-${budgetIndex}`,
      openingTokens,
    }));
    const account = {
      id: `new-${accountIndex}`,
      keyDigests: [digestText(`new-${accountIndex}`)],
      budgets,
    };
    return { ...document, accounts: [...document.accounts, account] };
  },
};

function mapAccount(
  document: EnvironmentDocument,
  at: number,
  change: (
    account: EnvironmentDocument['accounts'][number],
  ) => EnvironmentDocument['accounts'][number],
): EnvironmentDocument {
  const accounts = document.accounts.map((account, index) =>
    index === at ? change(account) : account,
  );
  return { ...document, accounts };
}

/** Measures each environment size, and the middle one with each leaf size. */
export const run: RunFunction = async ({ seed }: RunOptions) => {
  const rows: ResultRow[] = [];
  for (const size of sizes) rows.push(...(await measure(size, maxLeafBytes, seed)));
  const [, middle] = sizes;
  if (middle === undefined) return rows;
  for (const leafBytes of leafSizes) rows.push(...(await measure(middle, leafBytes, seed)));
  return rows;
};

async function measure(size: DocumentSize, leafBytes: number, seed: number): Promise<ResultRow[]> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const openStore = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const [operatorStore, instanceStore] = [openStore(), openStore()];
  let document = makeDocument(size);
  const options = { leafBytes, random: createRandom(seed) };
  const accept = (name: string) =>
    acceptParsedDocument(operatorStore, clock, document, digestText(name), options);
  await clock.runUntil(accept('first'));
  const watcher = new ConfigurationWatcher({ store: instanceStore, clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  const startReads = instanceStore.reads;
  const startReadBytes = instanceStore.readBytes;
  const objects = platform.objects().filter(({ key }) => key.includes('/objects/'));
  const largestObjectBytes = Math.max(...objects.map(({ value }) => JSON.stringify(value).length));
  const rows: ResultRow[] = [];
  const at = size.accounts >> 1;
  // The manifest lists a bounded number of earlier versions; fill the list before measuring.
  for (let round = 1; round <= priorVersions; round += 1) {
    const weighs = round % 2 === 0 ? 'overspend' : 'falseRefusals';
    document = mapAccount(document, 0, (account) => ({ ...account, weighs }));
    await clock.runUntil(accept(`before ${round}`));
  }
  await clock.runUntil(watcher.refresh());
  for (const [change, applyChange] of Object.entries(changes)) {
    document = applyChange(document, at);
    Object.assign(operatorStore, { writes: 0, writtenBytes: 0 });
    Object.assign(instanceStore, { reads: 0, readBytes: 0 });
    await clock.runUntil(accept(change));
    await clock.runUntil(watcher.refresh());
    rows.push({
      accounts: size.accounts,
      budgets: document.accounts.reduce((sum, account) => sum + account.budgets.length, 0),
      leafBytes,
      objects: objects.length,
      largestObjectBytes,
      startReads,
      startReadBytes,
      change,
      wholeDocumentBytes: JSON.stringify(document).length,
      writes: operatorStore.writes,
      writtenBytes: operatorStore.writtenBytes,
      instanceReads: instanceStore.reads,
      instanceReadBytes: instanceStore.readBytes,
      instanceBytesPerSecondAtTarget: Math.round(
        (instanceStore.readBytes * changesPerDay) / secondsPerDay,
      ),
    });
  }
  return rows;
}
