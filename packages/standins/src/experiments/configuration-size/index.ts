/**
 * What an environment takes in the store, and what one changed account costs, by its size.
 *
 * Weighed against the whole document in one object, and between sizes of a leaf.
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
import type { NamedRun, RunOptions } from '../../_lib/runNamed/index.js';
import type { ResultRow } from '../../printTable/index.js';

const sizes: readonly DocumentSize[] = [
  { accounts: 10, budgetsPerAccount: 1, largeAccounts: 2, budgetsPerLargeAccount: 2 },
  { accounts: 230, budgetsPerAccount: 210, largeAccounts: 1, budgetsPerLargeAccount: 10_000 },
  { accounts: 2_300, budgetsPerAccount: 210, largeAccounts: 5, budgetsPerLargeAccount: 20_000 },
];
/** Sizes of a leaf that are compared, at the middle size only: each takes minutes at the target. */
const leafSizes = [2_048, 32_768];
const changesBefore = 8;
const changesPerDay = 19_000;
const secondsPerDay = 86_400;

type Change = (document: EnvironmentDocument, at: number) => EnvironmentDocument;

const changes: Readonly<Record<string, Change>> = {
  rotatedKey: (document, at) =>
    mapAccount(document, at, (account) => ({
      ...account,
      keyDigests: [...account.keyDigests, digestText(`next-${at}`)],
    })),
  addedBudget: (document, at) =>
    mapAccount(document, at, (account) => ({
      ...account,
      budgets: [...account.budgets, { id: `${account.id}-added`, openingTokens: 5_000 }],
    })),
  addedAccount: (document, at) => {
    const model = document.accounts.at(-1);
    const budgets = (model?.budgets ?? []).map(({ openingTokens }, inner) => ({
      id: `new-${at}-budget-${inner}`,
      openingTokens,
    }));
    const account = { id: `new-${at}`, keyDigests: [digestText(`new-${at}`)], budgets };
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

/** Runs all sizes. */
export const run: NamedRun = async ({ seed }: RunOptions) => {
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
  const open = () => new FaultyObjectStore(new MemoryObjectStore(platform, clock));
  const [operator, instance] = [open(), open()];
  let document = makeDocument(size);
  const options = { leafBytes, random: createRandom(seed) };
  const accept = (name: string) =>
    acceptParsedDocument(operator, clock, document, digestText(name), options);
  await clock.runUntil(accept('first'));
  const watcher = new ConfigurationWatcher({ store: instance, clock, environment: 'kapiti' });
  await clock.runUntil(watcher.refresh());
  const startReads = instance.reads;
  const startReadBytes = instance.readBytes;
  const objects = platform.objects().filter(({ key }) => key.includes('/objects/'));
  const largestObjectBytes = Math.max(...objects.map(({ value }) => JSON.stringify(value).length));
  const rows: ResultRow[] = [];
  const at = size.accounts >> 1;
  // The manifest names a bounded number of earlier versions; it is measured with all of them.
  for (let round = 1; round <= changesBefore; round += 1) {
    const weighs = round % 2 === 0 ? 'overspend' : 'falseRefusals';
    document = mapAccount(document, 0, (account) => ({ ...account, weighs }));
    await clock.runUntil(accept(`before ${round}`));
  }
  await clock.runUntil(watcher.refresh());
  for (const [change, make] of Object.entries(changes)) {
    document = make(document, at);
    Object.assign(operator, { writes: 0, writtenBytes: 0 });
    Object.assign(instance, { reads: 0, readBytes: 0 });
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
      writes: operator.writes,
      writtenBytes: operator.writtenBytes,
      instanceReads: instance.reads,
      instanceReadBytes: instance.readBytes,
      instanceBytesPerSecondAtTarget: Math.round(
        (instance.readBytes * changesPerDay) / secondsPerDay,
      ),
    });
  }
  return rows;
}
