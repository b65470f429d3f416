/**
 * Measures the time and memory that a configuration costs an instance, by its size: loading it at
 * start, loading a change of one account, and the lookups on the request path.
 */
import { createRandom, digestText, SystemClock, type AccountId } from '@acaciacrank/base';
import {
  compileEnvironment,
  EnvironmentIndex,
  loadConfiguration,
  MemoryConfigurationObjects,
  objectsOf,
} from '@acaciacrank/operators';
import { makeDocument } from '../../configuration/_lib/configurationDocument/index.js';
import type { RunFunction, RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';
import { roundHundredths } from '../_lib/roundHundredths/index.js';

const sizes = [
  { accounts: 10, budgetsPerAccount: 1 },
  { accounts: 230, budgetsPerAccount: 252 },
  { accounts: 2_300, budgetsPerAccount: 253 },
];
const lookups = 100_000;
const changes = 6;
const clock = new SystemClock();

/** Measures each configuration size. */
export const run: RunFunction = async ({ seed }: RunOptions) => {
  const rows: ResultRow[] = [];
  for (const size of sizes) rows.push(await measure(size, createRandom(seed)));
  return rows;
};

async function measure(size: (typeof sizes)[number], random: () => number): Promise<ResultRow> {
  const document = makeDocument(size);
  const budgets = size.accounts * size.budgetsPerAccount;
  const compileStartMs = clock.monotonicMs();
  const compiled = compileEnvironment(document);
  const compileMs = clock.monotonicMs() - compileStartMs;
  const texts = new Map([...objectsOf(compiled)].map(({ digest, text }) => [digest, text]));
  const source = new MemoryConfigurationObjects(texts);
  const heapBeforeBytes = readHeapBytes();
  const startMs = clock.monotonicMs();
  const loaded = await loadConfiguration(source, compiled.root);
  const startLoadMs = clock.monotonicMs() - startMs;
  const loadedBytes = readHeapBytes() - heapBeforeBytes;
  let inForce = loaded;
  let changeLoadMs = 0;
  for (let round = 0; round < changes; round += 1) {
    const [first, ...rest] = document.accounts;
    const weighs = round % 2 === 0 ? ('falseRefusals' as const) : ('overspend' as const);
    const accounts = [...(first === undefined ? [] : [{ ...first, weighs }]), ...rest];
    const changed = compileEnvironment({ ...document, accounts });
    for (const { digest, text } of objectsOf(changed)) texts.set(digest, text);
    const changeStartMs = clock.monotonicMs();
    inForce = await loadConfiguration(source, changed.root, { reuseFrom: inForce });
    changeLoadMs += (clock.monotonicMs() - changeStartMs) / changes;
  }
  const index = new EnvironmentIndex(inForce);
  const lookUpStartMs = clock.monotonicMs();
  for (let round = 0; round < lookups; round += 1) {
    const accountIndex = Math.floor(random() * size.accounts);
    const accountId = `account-${accountIndex}` as AccountId;
    const budgetIndex = Math.floor(random() * size.budgetsPerAccount);
    index.budgetOf(accountId, `${accountId}-budget-${budgetIndex}`);
  }
  const lookupMicroseconds = (1_000 * (clock.monotonicMs() - lookUpStartMs)) / lookups;
  const keys = Array.from({ length: 1_000 }, (_, keyIndex) => `key-${keyIndex % size.accounts}`);
  const keyStartMs = clock.monotonicMs();
  for (const key of keys) index.accountOfKey(key);
  const keyMicroseconds = (1_000 * (clock.monotonicMs() - keyStartMs)) / keys.length;
  const digestStartMs = clock.monotonicMs();
  for (const key of keys) digestText(key);
  const digestMicroseconds = (1_000 * (clock.monotonicMs() - digestStartMs)) / keys.length;
  return {
    accounts: size.accounts,
    budgets,
    textBytes: [...objectsOf(loaded)].reduce((sum, { text }) => sum + text.length, 0),
    loadedHeapBytes: loadedBytes,
    compileMs: roundHundredths(compileMs),
    startLoadMs: roundHundredths(startLoadMs),
    changeLoadMs: roundHundredths(changeLoadMs),
    budgetLookupMicroseconds: roundHundredths(lookupMicroseconds),
    keyLookupMicroseconds: roundHundredths(keyMicroseconds),
    ofThatDigestMicroseconds: roundHundredths(digestMicroseconds),
  };
}

/** Used heap in bytes; exact only if Node.js runs with `--expose-gc`. */
function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
