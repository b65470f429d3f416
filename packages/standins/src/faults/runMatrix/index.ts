import { createRandom, type ManualClock } from '@acaciacrank/base';
import { FixedGrantPolicy } from '@acaciacrank/ledger';
import { createLocalFleet, type LocalFleet } from '../../createLocalFleet/index.js';
import type { Mutation } from '../mutations/index.js';
import { isKnownRed } from '../_lib/readKnownRed/index.js';
import { checkRecords } from '../checkRecords/index.js';
import { storyDocument } from '../document.js';
import { FaultInjector } from '../FaultInjector/index.js';
import type { Story } from '../stories/index.js';
import { StoryContext } from '../StoryContext/index.js';
import {
  faultKinds,
  type FaultKind,
  type PlannedFault,
  type Step,
  type Violation,
} from '../types.js';
import { wrapInstance } from '../wrapInstance/index.js';

/** Result of one run of a story. */
export interface StoryRun {
  readonly steps: readonly Step[];
  readonly violations: readonly Violation[];
}

/** Options of {@link runStory}. */
export interface RunStoryOptions {
  readonly seed: number;
  readonly plan: readonly PlannedFault[];
  /** A mutation that the checks must detect. */
  readonly mutation?: Mutation;
}

/** Time after a story and its pauses in which delayed effects complete, in milliseconds. */
const settlingMs = 60_000;

/**
 * Runs one story with the planned faults, then checks all invariants.
 *
 * @param story - the story to run
 * @param options - the seed, the planned faults and a mutation
 * @returns the counted steps and the violations
 *
 * @example
 * const { violations } = await runStory(story, { seed: 1, plan: [{ step: 3, fault: 'crashAfter' }] });
 */
export async function runStory(story: Story, options: RunStoryOptions): Promise<StoryRun> {
  let injector: FaultInjector | undefined;
  const injectorFor = (clock: ManualClock) => (injector ??= new FaultInjector(clock, options.plan));
  const fleet = await createLocalFleet({
    document: storyDocument('first'),
    seed: options.seed,
    instances: story.instances ?? 2,
    instanceOptions: { grantPolicy: new FixedGrantPolicy(50) },
    wrap: (parts, clock) =>
      wrapInstance(injectorFor(clock), options.mutation?.mutate(parts) ?? parts),
  });
  const context = new StoryContext(fleet, injectorFor(fleet.clock), {
    wrapOperatorStore: options.mutation?.operatorStore,
    isFencingChecked: options.mutation?.isFencingChecked,
  });
  for (const { instance } of fleet.instances)
    options.mutation?.mutateAfterStart?.(instance, fleet.clock);
  context.injector.startCounting();
  await fleet.clock.runUntil(story.run(context), 3_600_000);
  await fleet.clock.advance(settlingMs + longestPauseMs(fleet, context.injector));
  const run = { steps: context.injector.steps, violations: checkRecords(context) };
  await disposeRunning(fleet, context.injector);
  return run;
}

/** Combined result of all runs of one story with one kind of fault. */
export interface MatrixCell {
  readonly story: string;
  readonly fault: string;
  readonly steps: number;
  readonly runs: number;
  readonly violations: number;
  readonly knownRed: boolean;
  /** Command that reproduces the first failing run of the cell; empty if none failed. */
  readonly command: string;
  readonly firstViolation: string;
}

/** Options of {@link runMatrix}. */
export interface RunMatrixOptions {
  readonly stories: readonly Story[];
  readonly faults?: readonly FaultKind[];
  readonly seed?: number;
  /** Approximate number of steps to inject faults at, evenly spaced; by default all. */
  readonly maxSteps?: number;
  /** Number of random pairs of faults for each story. */
  readonly pairs?: number;
}

/**
 * Runs every fault at every step of every story, then pairs of faults.
 *
 * @param options - the stories, the faults and the number of pairs
 * @returns one cell for each story and fault, and one for the pairs of each story
 *
 * @example
 * const cells = await runMatrix({ stories });
 */
export async function runMatrix(options: RunMatrixOptions): Promise<MatrixCell[]> {
  const cells: MatrixCell[] = [];
  const seed = options.seed ?? 1;
  for (const story of options.stories) {
    const faultFree = await runPlans(story, seed, [[]]);
    const steps = faultFree[0]?.run.steps.length ?? 0;
    cells.push(summarizeRuns(story, 'none', steps, seed, faultFree));
    const selectedSteps = Array.from({ length: steps }, (_, step) => step).filter(
      (step) => step % Math.ceil(steps / (options.maxSteps ?? steps)) === 0,
    );
    for (const fault of options.faults ?? faultKinds) {
      const plans = selectedSteps.map((step) => [{ step, fault }]);
      cells.push(summarizeRuns(story, fault, steps, seed, await runPlans(story, seed, plans)));
    }
    if ((options.pairs ?? 0) > 0) {
      const plans = samplePairs(steps, options.pairs ?? 0, seed);
      cells.push(summarizeRuns(story, 'pairs', steps, seed, await runPlans(story, seed, plans)));
    }
  }
  return cells;
}

interface PlannedRun {
  readonly plan: readonly PlannedFault[];
  readonly run: StoryRun;
}

async function runPlans(
  story: Story,
  seed: number,
  plans: readonly (readonly PlannedFault[])[],
): Promise<PlannedRun[]> {
  const runs: PlannedRun[] = [];
  for (const plan of plans) runs.push({ plan, run: await runStory(story, { seed, plan }) });
  return runs;
}

function summarizeRuns(
  story: Story,
  fault: string,
  steps: number,
  seed: number,
  runs: readonly PlannedRun[],
): MatrixCell {
  const failing = runs.find(({ run }) => run.violations.length > 0);
  const first = failing?.run.violations[0];
  const command = failing === undefined ? '' : formatRunCommand(story, seed, failing.plan);
  return {
    story: story.name,
    fault,
    steps,
    runs: runs.length,
    violations: runs.reduce((sum, { run }) => sum + run.violations.length, 0),
    knownRed: isKnownRed(command),
    command,
    firstViolation: first === undefined ? '' : `${first.invariant}: ${first.what}`,
  };
}

/**
 * Whether the checks detect a mutation, either without a fault or with the fault of the mutation at some
 * step.
 *
 * @param story - the story to run
 * @param mutation - the mutation to detect
 * @param seed - seed of all random choices
 *
 * @example
 * await detectsMutation(storyNamed(mutation.story), mutation);
 * //=> true
 */
export async function detectsMutation(
  story: Story,
  mutation: Mutation,
  seed = 1,
): Promise<boolean> {
  const isDetected = (run: StoryRun) =>
    run.violations.some(({ invariant }) => invariant === mutation.invariant);
  const faultFree = await runStory(story, { seed, plan: [], mutation });
  if (isDetected(faultFree)) return true;
  const { fault } = mutation;
  if (fault === undefined) return false;
  for (let step = 0; step < faultFree.steps.length; step += 1) {
    if (isDetected(await runStory(story, { seed, plan: [{ step, fault }], mutation }))) return true;
  }
  return false;
}

/**
 * Formats the command that reproduces one run.
 *
 * @example
 * formatRunCommand(story, 1, [{ step: 3, fault: 'pause' }]);
 * //=> 'npm run faults -- --story modelRequest --seed 1 --plan 3:pause'
 */
export function formatRunCommand(
  story: Story,
  seed: number,
  plan: readonly PlannedFault[],
): string {
  const planned = plan.map(({ step, fault }) => `${step}:${fault}`).join(',');
  return `npm run faults -- --story ${story.name} --seed ${seed} --plan ${planned || 'none'}`;
}

function samplePairs(steps: number, count: number, seed: number): PlannedFault[][] {
  const random = createRandom(seed);
  const draw = (): PlannedFault => ({
    step: Math.floor(random() * steps),
    fault: faultKinds[Math.floor(random() * faultKinds.length)] ?? 'slow',
  });
  return Array.from({ length: count }, () => [draw(), draw()]);
}

function longestPauseMs(fleet: LocalFleet, injector: FaultInjector): number {
  const nowMs = fleet.clock.monotonicMs();
  return Math.max(0, ...fleet.instances.map((local) => injector.pausedUntilMs(local.id) - nowMs));
}

/** Skips crashed instances, whose disposal would never complete. */
async function disposeRunning(fleet: LocalFleet, injector: FaultInjector): Promise<void> {
  const running = fleet.instances.filter((local) => !injector.hasCrashed(local.id));
  const disposals = running.map((local) => local.instance[Symbol.asyncDispose]());
  await fleet.clock.runUntil(Promise.all(disposals));
}
