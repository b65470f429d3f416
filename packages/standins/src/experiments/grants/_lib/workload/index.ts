/**
 * Seeded workloads of both deployments for the grants experiment.
 */
import { createRandom, type AccountId, type BudgetId, type Random } from '@acaciacrank/base';
import type { BudgetRef } from '@acaciacrank/ledger';

/** One request class and its share of the requests. */
interface ClassMix {
  readonly share: number;
  /** Minimum and maximum; drawn uniformly. */
  readonly promptTokens: readonly [number, number];
  readonly maxOutputTokens: number;
}

/** The request mix of one deployment. */
export interface Deployment {
  readonly name: string;
  readonly classes: readonly ClassMix[];
}

/** One request; every policy is given the same requests. */
export interface WorkloadRequest {
  readonly index: number;
  readonly atMs: number;
  readonly budget: BudgetRef;
  /** Tokens that are reserved before the request runs. */
  readonly worstCaseTokens: number;
  /** Tokens that are settled when the request ends. */
  readonly actualTokens: number;
  readonly durationMs: number;
  /** Random number in [0, 1) that selects one of the account's instances. */
  readonly instanceDraw: number;
}

/** Both deployments: shift prompts, reviews and tagging; chat, plan drafts and tagging. */
export const deployments: readonly Deployment[] = [
  {
    name: 'kapiti',
    classes: [
      { share: 0.6, promptTokens: [150, 500], maxOutputTokens: 300 },
      { share: 0.1, promptTokens: [1_000, 3_000], maxOutputTokens: 1_500 },
      { share: 0.3, promptTokens: [80, 250], maxOutputTokens: 20 },
    ],
  },
  {
    name: 'refugios',
    classes: [
      { share: 0.5, promptTokens: [100, 400], maxOutputTokens: 250 },
      { share: 0.1, promptTokens: [300, 900], maxOutputTokens: 1_200 },
      { share: 0.4, promptTokens: [60, 200], maxOutputTokens: 20 },
    ],
  },
];

/** Share of the requests of each account, and its budget as a multiple of its expected usage. */
const accounts: readonly { share: number; budgetCoverage: number }[] = [
  { share: 0.25, budgetCoverage: 4 },
  { share: 0.2, budgetCoverage: 0.8 },
  { share: 0.15, budgetCoverage: 2.5 },
  { share: 0.08, budgetCoverage: 3 },
  { share: 0.07, budgetCoverage: 0.7 },
  { share: 0.06, budgetCoverage: 6 },
  { share: 0.06, budgetCoverage: 1.5 },
  { share: 0.05, budgetCoverage: 0.9 },
  { share: 0.05, budgetCoverage: 5 },
  { share: 0.03, budgetCoverage: 2 },
];

const tokenGapMs = 40;

/** Seed and size of a workload. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
}

/**
 * Generates a workload with Poisson arrivals.
 *
 * @param deployment - the request mix
 * @param options - seed and size
 * @returns requests in order of arrival
 *
 * @example
 * const requests = drawWorkload(deployments[0], { seed: 1, durationMs: 60_000, requestsPerSecond: 4 });
 */
export function drawWorkload(deployment: Deployment, options: WorkloadOptions): WorkloadRequest[] {
  const random = createRandom(options.seed);
  const budgets = budgetsOf(deployment, options);
  const requests: WorkloadRequest[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1_000) / options.requestsPerSecond;
    if (atMs >= options.durationMs) return requests;
    const budget = pickWeighted(random, accounts, budgets);
    const mix = pickWeighted(random, deployment.classes, deployment.classes);
    requests.push(drawRequest(random, requests.length, Math.round(atMs), budget, mix));
  }
}

/** The deployment's budgets, one for each account. */
export function budgetsOf(deployment: Deployment, options: WorkloadOptions): BudgetRef[] {
  const expectedTokens =
    meanTokens(deployment) * options.requestsPerSecond * (options.durationMs / 1_000);
  return accounts.map(({ share, budgetCoverage }, index) => ({
    accountId: `${deployment.name}-${index + 1}` as AccountId,
    budgetId: `${deployment.name}-${index + 1}-2026` as BudgetId,
    openingTokens: Math.round(expectedTokens * share * budgetCoverage),
  }));
}

function meanTokens(deployment: Deployment): number {
  return deployment.classes.reduce((sum, mix) => {
    const [low, high] = mix.promptTokens;
    // The output length is uniform between 0.2 and 1 times the maximum, so its mean is 0.6 times.
    return sum + mix.share * ((low + high) / 2 + mix.maxOutputTokens * 0.6);
  }, 0);
}

function drawRequest(
  random: Random,
  index: number,
  atMs: number,
  budget: BudgetRef,
  mix: ClassMix,
): WorkloadRequest {
  const [low, high] = mix.promptTokens;
  const promptTokens = Math.round(low + (high - low) * random());
  const outputTokens = Math.max(1, Math.round(mix.maxOutputTokens * (0.2 + 0.8 * random())));
  return {
    index,
    atMs,
    budget,
    worstCaseTokens: promptTokens + mix.maxOutputTokens,
    actualTokens: promptTokens + outputTokens,
    durationMs: 200 + outputTokens * tokenGapMs,
    instanceDraw: random(),
  };
}

function pickWeighted<Item>(
  random: Random,
  weights: readonly { share: number }[],
  items: readonly Item[],
): Item {
  let remainingWeight = random();
  for (const [index, { share }] of weights.entries()) {
    remainingWeight -= share;
    const item = items[index];
    if (remainingWeight < 0 && item !== undefined) return item;
  }
  return items[0] as Item;
}
