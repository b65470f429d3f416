/**
 * Measures failure detection for each kind of failure: how long it takes until all instances agree,
 * and which live instances are wrongly declared dead. Runs in virtual time; each instance has its own
 * membership and in-process links.
 */
import { configurationScenarios } from './_lib/configurationScenarios/index.js';
import { replaceAllInstances } from './_lib/rollingReplacement/index.js';
import { MemberFleet } from '../../_lib/MemberFleet/index.js';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';

/** Result of one failure scenario. The columns call the scenario a story. */
export interface FailureScenarioResult {
  readonly story: string;
  readonly instances: number;
  /** Time until all instances agreed on the change; null if that took longer than the limit. */
  readonly settledMs: number | null;
  /** Number of times that an instance was declared dead although it was running and reachable. */
  readonly falseDeaths: number;
  readonly suspicions: number;
  readonly refutations: number;
}

/** Injects one failure into a fleet whose membership has converged. */
export type FailureScenario = (
  fleet: MemberFleet,
) => Promise<Omit<FailureScenarioResult, 'instances' | 'story'>>;

const limitMs = 60_000;

function outcome(fleet: MemberFleet, settledMs: number | undefined, falseDeaths: number) {
  return {
    settledMs: settledMs ?? null,
    falseDeaths,
    suspicions: fleet.sumCounter('membersSuspected'),
    refutations: fleet.sumCounter('suspicionsRefuted'),
  };
}

/** The failure scenarios by name. */
export const failureScenarios: Readonly<Record<string, FailureScenario>> = {
  crash: async (fleet) => {
    fleet.crash('i2');
    const isKnown = () => fleet.viewsOf('i2').every((member) => member?.state === 'dead');
    const settledMs = await fleet.timeUntil(isKnown, limitMs);
    return outcome(fleet, settledMs, fleet.declaredDead().filter((id) => id !== 'i2').length);
  },
  plannedStop: async (fleet) => {
    fleet.nodes.get('i2')?.membership.leave();
    const isKnown = () => fleet.viewsOf('i2').every((member) => member?.state === 'leaving');
    const settledMs = await fleet.timeUntil(isKnown, limitMs);
    return outcome(fleet, settledMs, fleet.declaredDead().length);
  },
  silentLink: async (fleet) => {
    const [neighbour] = fleet.nodes.get('i1')?.membership.neighbours ?? [];
    fleet.network.silence('i1', neighbour ?? 'i2');
    await fleet.clock.advance(60_000);
    return outcome(fleet, 0, fleet.declaredDead().length);
  },
  lossyInstance: async (fleet) => {
    for (const id of fleet.nodes.keys()) {
      fleet.network.setLossRatio('i1', id, 0.3);
      fleet.network.setLossRatio(id, 'i1', 0.3);
    }
    await fleet.clock.advance(60_000);
    return outcome(fleet, 0, fleet.declaredDead().length);
  },
  shortPause: async (fleet) => {
    fleet.network.isolate('i2');
    await fleet.clock.advance(2_500);
    fleet.network.isolate('i2', false);
    const settledMs = await fleet.timeUntil(() => fleet.isConverged, limitMs);
    return outcome(fleet, settledMs, fleet.declaredDead().length);
  },
  restart: async (fleet) => {
    fleet.crash('i2');
    await fleet.clock.advance(700);
    const { life } = fleet.start('i2').membership.self;
    const isKnown = () => fleet.viewsOf('i2').every((member) => member?.life === life);
    const settledMs = await fleet.timeUntil(() => isKnown() && fleet.isConverged, limitMs);
    return outcome(fleet, settledMs, fleet.declaredDead().length);
  },
  restartWithClockSetBack: async (fleet) => {
    fleet.crash('i2');
    fleet.clock.jumpWall(-3_600_000);
    const { life } = fleet.start('i2').membership.self;
    const isKnown = () => fleet.viewsOf('i2').every((member) => member?.life === life);
    const settledMs = await fleet.timeUntil(() => isKnown() && fleet.isConverged, limitMs);
    return outcome(fleet, settledMs, fleet.declaredDead().length);
  },
  partitionAndHeal: async (fleet) => {
    const ids = [...fleet.nodes.keys()];
    const sides = [ids.slice(0, ids.length / 2), ids.slice(ids.length / 2)] as const;
    fleet.network.partition(...sides);
    await fleet.clock.advance(120_000);
    fleet.network.heal();
    const settledMs = await fleet.timeUntil(() => fleet.isConverged, limitMs);
    const sameSideDeaths = [...fleet.nodes.values()].flatMap(({ id, declaredDead }) =>
      declaredDead.filter((other) =>
        sides.some((side) => side.includes(id) && side.includes(other)),
      ),
    );
    return outcome(fleet, settledMs, sameSideDeaths.length);
  },
};

/**
 * Runs one failure scenario on a new fleet after its membership has converged.
 *
 * @param name - a key of {@link failureScenarios}
 * @param instances - size of the fleet
 * @param seed - seed of all message losses and waits
 */
export async function runFailureScenario(
  name: string,
  instances: number,
  seed: number,
): Promise<FailureScenarioResult> {
  const fleet = new MemberFleet(instances, seed);
  const scenario = failureScenarios[name];
  if (scenario === undefined) throw new Error(`unknown failure scenario: ${name}`);
  const hasFormed = (await fleet.timeUntil(() => fleet.isConverged, limitMs)) !== undefined;
  if (!hasFormed) throw new Error('membership did not converge within 60 s');
  const result = await scenario(fleet);
  for (const id of [...fleet.nodes.keys()]) fleet.crash(id);
  return { story: name, instances, ...result };
}

async function runConfigurationScenario(
  name: string,
  instances: number,
  seed: number,
): Promise<ResultRow> {
  const fleet = new MemberFleet(instances, seed);
  await fleet.timeUntil(() => fleet.isConverged, limitMs);
  const settledMs = await configurationScenarios[name]?.(fleet);
  for (const id of [...fleet.nodes.keys()]) fleet.crash(id);
  return { ...emptyRow, story: `configuration:${name}`, instances, settledMs: settledMs ?? null };
}

/** Columns that a scenario does not measure are null. */
const emptyRow = {
  story: '',
  instances: 0,
  settledMs: null,
  falseDeaths: null,
  suspicions: null,
  refutations: null,
  requests: null,
  refused: null,
  brokenOff: null,
  cutOff: null,
};

/** Runs each scenario with 5 and 20 instances, and a rolling replacement of 5 under load. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const instances of [5, 20]) {
    for (const name of Object.keys(failureScenarios)) {
      rows.push({ ...emptyRow, ...(await runFailureScenario(name, instances, seed)) });
    }
    for (const name of Object.keys(configurationScenarios)) {
      rows.push(await runConfigurationScenario(name, instances, seed));
    }
  }
  const { requests, refused, brokenOff, cutOff } = await replaceAllInstances({ seed });
  const story = 'rollingReplacement';
  rows.push({ ...emptyRow, story, instances: 5, requests, refused, brokenOff, cutOff });
  return rows;
}
