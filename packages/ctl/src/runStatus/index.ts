import { toRouterError } from '@acaciacrank/base';
import { readBudget, type BudgetStatus } from '@acaciacrank/ledger';
import { isTrialEnvironment, trialEnvironmentOf, type Manifest } from '@acaciacrank/operators';
import { queryInstances } from '../queryInstances/index.js';
import { formatTime } from '../_lib/formatTime/index.js';
import { readEnvironment, readCurrentManifest } from '../_lib/readEnvironment/index.js';
import { describeRollout } from '../_lib/waitUntilInForce/index.js';
import type { CommandContext, CommandResult } from '../types.js';

/** Maximum number of budgets to show; the `budget` command shows any of them. */
const maxShownBudgets = 20;

/**
 * Shows the accepted version, which instances act on it, and the first budgets.
 *
 * @example
 * const { isCertain } = await runStatus(context, 'kapiti');
 */
export async function runStatus(
  context: CommandContext,
  environment: string,
): Promise<CommandResult> {
  const [accepted, fleet] = await Promise.all([
    tryRead(() => readCurrentManifest(context, environment)),
    queryInstances(context, environment),
  ]);
  const manifest = accepted.value;
  const rollout = describeRollout(fleet, manifest?.version ?? 0);
  const trial = isTrialEnvironment(environment)
    ? undefined
    : await describeTrial(context, environment, manifest);
  const budgets = await describeBudgets(context, environment, manifest);
  const isCertain = accepted.problem === undefined && rollout.isComplete && budgets.isCertain;
  return {
    isCertain,
    text: [
      ...describeAccepted(environment, manifest, accepted.problem),
      ...rollout.lines,
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
      ...rollout.data,
      budgets: budgets.rows,
    },
  };
}

interface ReadResult<Value> {
  readonly value: Value | undefined;
  readonly problem: string | undefined;
}

async function tryRead<Value>(read: () => Promise<Value>): Promise<ReadResult<Value>> {
  try {
    return { value: await read(), problem: undefined };
  } catch (thrown) {
    return { value: undefined, problem: toRouterError(thrown).message };
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
  const rollbackVersionList = previous.map((earlier) => earlier.version).join(', ') || 'none';
  return [
    `Version ${version} of ${environment} is accepted since ${formatTime(acceptedAtMs)} (digest ${digest.slice(0, 12)}${origin}). Can be rolled back to: ${rollbackVersionList}.`,
  ];
}

async function describeTrial(
  context: CommandContext,
  environment: string,
  manifest: Manifest | undefined,
): Promise<string> {
  const { value, problem } = await tryRead(() =>
    readCurrentManifest(context, trialEnvironmentOf(environment)),
  );
  if (problem !== undefined) return `Which version trial has is UNKNOWN: ${problem}.`;
  if (value === undefined) return 'Trial has no document.';
  const contentComparison =
    value.digest === manifest?.digest ? 'the same bytes' : 'OTHER bytes than production';
  return `Trial has version ${value.version} of its own, ${contentComparison}.`;
}

async function describeBudgets(
  context: CommandContext,
  environment: string,
  manifest: Manifest | undefined,
): Promise<{ lines: string[]; rows: BudgetStatus[]; isCertain: boolean }> {
  if (manifest === undefined) return { lines: [], rows: [], isCertain: true };
  try {
    const { index, store } = await readEnvironment(context, environment);
    const allBudgets = [...index.budgets()];
    const rows = await Promise.all(
      allBudgets.slice(0, maxShownBudgets).map((budget) => readBudget(store, budget)),
    );
    const remainingCount = allBudgets.length - rows.length;
    const lines = [
      'Budgets, in tokens:',
      ...rows.map((row) => `  ${describeBudget(row)}`),
      ...(remainingCount > 0
        ? [`  and ${remainingCount} more; acaciacrankctl budget NAME shows each`]
        : []),
    ];
    return { lines, rows, isCertain: true };
  } catch (thrown) {
    const { message } = toRouterError(thrown);
    return {
      lines: [`The state of the budgets is UNKNOWN: ${message}.`],
      rows: [],
      isCertain: false,
    };
  }
}

/** Describes one budget on one line. */
export function describeBudget(budget: BudgetStatus): string {
  const { budgetId, prepaidTokens, settledTokens, grantedTokens, availableTokens } = budget;
  return `${budgetId}: prepaid ${prepaidTokens}, spent ${settledTokens}, set aside for instances ${grantedTokens}, free ${availableTokens}`;
}
