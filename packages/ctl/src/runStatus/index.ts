import { describeError } from '@acaciacrank/base';
import { readBudget, type BudgetStatus } from '@acaciacrank/ledger';
import { isTrialEnvironment, trialEnvironmentOf, type Manifest } from '@acaciacrank/operators';
import { askInstances } from '../askInstances/index.js';
import { formatTime } from '../_lib/formatTime/index.js';
import { readEnvironment, readInForce } from '../_lib/readEnvironment/index.js';
import { describeSpread } from '../_lib/waitInForce/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/** How many budgets are shown; `budget` shows any of them. */
const maxBudgets = 20;

/**
 * Says which version is accepted, which instances act on it, and how the first budgets stand.
 *
 * @example
 * const { isCertain } = await runStatus(context, 'kapiti');
 */
export async function runStatus(
  context: CommandContext,
  environment: string,
): Promise<CommandResult> {
  const [accepted, view] = await Promise.all([
    known(() => readInForce(context, environment)),
    askInstances(context, environment),
  ]);
  const manifest = accepted.value;
  const spread = describeSpread(view, manifest?.version ?? 0);
  const trial = isTrialEnvironment(environment)
    ? undefined
    : await describeTrial(context, environment, manifest);
  const budgets = await describeBudgets(context, environment, manifest);
  const isCertain = accepted.problem === undefined && spread.isEverywhere && budgets.isCertain;
  return {
    isCertain,
    text: [
      ...describeAccepted(environment, manifest, accepted.problem),
      ...spread.lines,
      ...(trial === undefined ? [] : [trial]),
      ...budgets.lines,
      isCertain
        ? 'Next: nothing; every listed instance acts on the accepted version.'
        : 'Next: look at what is UNKNOWN or NOT YET above, and run this again in 10 s.',
    ].join('\n'),
    data: {
      environment,
      version: manifest?.version ?? null,
      digest: manifest?.digest ?? null,
      acceptedAtMs: manifest?.acceptedAtMs ?? null,
      storeProblem: accepted.problem ?? null,
      rollbackVersions: manifest?.previous.map(({ version }) => version) ?? [],
      ...spread.data,
      budgets: budgets.rows,
    },
  };
}

interface Known<Value> {
  readonly value: Value | undefined;
  readonly problem: string | undefined;
}

async function known<Value>(read: () => Promise<Value>): Promise<Known<Value>> {
  try {
    return { value: await read(), problem: undefined };
  } catch (thrown) {
    return { value: undefined, problem: describeError(thrown).message };
  }
}

function describeAccepted(
  environment: string,
  manifest: Manifest | undefined,
  problem: string | undefined,
): string[] {
  if (problem !== undefined) {
    return [`Which version of ${environment} is accepted is UNKNOWN: ${problem}.`];
  }
  if (manifest === undefined) return [`No document of ${environment} has been accepted yet.`];
  const { version, digest, acceptedAtMs, rolledBackTo, previous } = manifest;
  const origin = rolledBackTo === undefined ? '' : `, a rollback to version ${rolledBackTo}`;
  const kept = previous.map((earlier) => earlier.version).join(', ') || 'none';
  return [
    `Version ${version} of ${environment} is accepted since ${formatTime(acceptedAtMs)} (digest ${digest.slice(0, 12)}${origin}). Can be rolled back to: ${kept}.`,
  ];
}

async function describeTrial(
  context: CommandContext,
  environment: string,
  manifest: Manifest | undefined,
): Promise<string> {
  const { value, problem } = await known(() =>
    readInForce(context, trialEnvironmentOf(environment)),
  );
  if (problem !== undefined) return `What trial has is UNKNOWN: ${problem}.`;
  if (value === undefined) return 'Trial has no document.';
  const same = value.digest === manifest?.digest ? 'the same bytes' : 'OTHER bytes than production';
  return `Trial has version ${value.version} of its own, ${same}.`;
}

async function describeBudgets(
  context: CommandContext,
  environment: string,
  manifest: Manifest | undefined,
): Promise<{ lines: string[]; rows: BudgetStatus[]; isCertain: boolean }> {
  if (manifest === undefined) return { lines: [], rows: [], isCertain: true };
  try {
    const { index, store } = await readEnvironment(context, environment);
    const all = [...index.budgets()];
    const rows = await Promise.all(
      all.slice(0, maxBudgets).map((budget) => readBudget(store, budget)),
    );
    const rest = all.length - rows.length;
    const lines = [
      'Budgets, in tokens:',
      ...rows.map((row) => `  ${describeBudget(row)}`),
      ...(rest > 0 ? [`  and ${rest} more; acaciacrankctl budget NAME shows each`] : []),
    ];
    return { lines, rows, isCertain: true };
  } catch (thrown) {
    const { message } = describeError(thrown);
    return { lines: [`How budgets stand is UNKNOWN: ${message}.`], rows: [], isCertain: false };
  }
}

/** One budget on one line. */
export function describeBudget(budget: BudgetStatus): string {
  const { budgetId, prepaidTokens, settledTokens, grantedTokens, availableTokens } = budget;
  return `${budgetId}: prepaid ${prepaidTokens}, spent ${settledTokens}, set aside for instances ${grantedTokens}, free ${availableTokens}`;
}
