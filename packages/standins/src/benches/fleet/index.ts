/**
 * Measures the cost of the control traffic of one instance at several fleet sizes in one run.
 *
 * The real membership and configuration gossip run in virtual time, with messages encoded and
 * validated as on real links. Changes occur at the rate of the target fleet at every size, so that a
 * small fleet carries the same load as the large one: 19,000 configuration versions and 1,140
 * failures and restarts a day. The last row is not measured but extrapolated by the slope per
 * doubling of the fleet.
 */
import { millisecondsInDay, millisecondsInSecond } from '@acaciacrank/base';
import { MemberFleet } from '../../_lib/MemberFleet/index.js';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';

/** Cost for each instance at one fleet size. */
export interface FleetCost {
  readonly instances: number;
  readonly sentMessagesPerSecond: number;
  readonly sentBytesPerSecond: number;
  /** Including headers of WebSocket, TCP and IP, and TCP acknowledgements. */
  readonly wireBytesPerSecond: number;
  /** Sent by the busiest instance in its busiest second after a partition into halves has healed. */
  readonly healPeakWireBytesPerSecond: number;
  /** Sent by the busiest instance, averaged over the 20 s after a partition into halves has healed. */
  readonly healMeanWireBytesPerSecond: number;
  /** Time until all instances see each other again; null if longer than the 20 s that are measured. */
  readonly healedMs: number | null;
  readonly neighbours: number;
  /** CPU time for messages at both ends, decisions and timers, as a percentage of one core. */
  readonly corePercent: number;
}

const sizes = [5, 20, 80];
const targetInstances = 390;
const measuredSeconds = 120;
const configurationEveryMs = millisecondsInDay / 19_000;
const restartEveryMs = millisecondsInDay / (240 + 900);
/** For each message: WebSocket 8, TCP and IP 40, and 40 for a separate TCP acknowledgement. */
const headerBytes = 88;
/** Approximate size of a manifest that lists eight earlier versions. */
const manifestBytes = 4_000;
const healSeconds = 20;
const maxSettleMs = 60 * millisecondsInSecond;

interface Totals {
  messages: number;
  bytes: number;
}

function readTotals(fleet: MemberFleet): Map<string, Totals> {
  return new Map(
    [...fleet.nodes.values()].map(({ id, links }) => [
      id,
      { messages: links.traffic.sentMessages, bytes: links.traffic.sentBytes },
    ]),
  );
}

/** Applies versions and restarts at the rate of the target fleet for the measured time. */
async function runSteadyState(fleet: MemberFleet): Promise<void> {
  const { clock } = fleet;
  const untilMs = clock.monotonicMs() + measuredSeconds * millisecondsInSecond;
  let nextVersionMs = clock.monotonicMs() + configurationEveryMs;
  let nextRestartMs = clock.monotonicMs() + restartEveryMs / 2;
  let version = 1;
  while (clock.monotonicMs() < untilMs) {
    const nextMs = Math.min(nextVersionMs, nextRestartMs, untilMs);
    await clock.advance(nextMs - clock.monotonicMs());
    if (nextMs === nextVersionMs) {
      version += 1;
      fleet.applyVersion('i1', version);
      nextVersionMs += configurationEveryMs;
    } else if (nextMs === nextRestartMs) {
      fleet.restart('i2');
      nextRestartMs += restartEveryMs;
    }
  }
}

interface HealTraffic {
  readonly peakBytesPerSecond: number;
  readonly meanBytesPerSecond: number;
  readonly healedMs: number | null;
}

/** Measures the bytes on the wire that the busiest instance sends after a partition has healed. */
async function measureHeal(fleet: MemberFleet): Promise<HealTraffic> {
  const ids = [...fleet.nodes.keys()];
  fleet.network.partition(ids.slice(0, ids.length / 2), ids.slice(ids.length / 2));
  await fleet.clock.advance(maxSettleMs / 2);
  fleet.network.heal();
  const start = readTotals(fleet);
  let peakBytesPerSecond = 0;
  let healedMs: number | undefined;
  for (let second = 0; second < healSeconds; second += 1) {
    const before = readTotals(fleet);
    await fleet.clock.advance(millisecondsInSecond);
    peakBytesPerSecond = Math.max(peakBytesPerSecond, maxSentWireBytes(before, readTotals(fleet)));
    if (fleet.isConverged) healedMs ??= (second + 1) * millisecondsInSecond;
  }
  const meanBytesPerSecond = maxSentWireBytes(start, readTotals(fleet)) / healSeconds;
  return {
    peakBytesPerSecond,
    meanBytesPerSecond,
    healedMs: healedMs ?? null,
  };
}

function maxSentWireBytes(
  before: ReadonlyMap<string, Totals>,
  after: ReadonlyMap<string, Totals>,
): number {
  const sent = [...after].map(([id, { messages, bytes }]) => {
    const earlier = before.get(id) ?? { messages: 0, bytes: 0 };
    return bytes - earlier.bytes + headerBytes * (messages - earlier.messages);
  });
  return Math.max(...sent);
}

/** Measures one fleet size. */
export async function measureFleet(instances: number, seed: number): Promise<FleetCost> {
  const fleet = new MemberFleet(instances, seed, manifestBytes);
  await fleet.timeUntil(() => fleet.isConverged, maxSettleMs);
  await fleet.clock.advance(maxSettleMs / 2);
  const before = fleet.sent();
  const cpuBefore = process.cpuUsage();
  await runSteadyState(fleet);
  const cpu = process.cpuUsage(cpuBefore);
  const after = fleet.sent();
  const instanceSeconds = instances * measuredSeconds;
  const messages = (after.messages - before.messages) / instanceSeconds;
  const bytes = (after.bytes - before.bytes) / instanceSeconds;
  const neighbours = [...fleet.nodes.values()].map((node) => node.membership.neighbours.length);
  const heal = await measureHeal(fleet);
  for (const id of [...fleet.nodes.keys()]) fleet.crash(id);
  return {
    instances,
    sentMessagesPerSecond: round(messages),
    sentBytesPerSecond: round(bytes),
    wireBytesPerSecond: round(bytes + headerBytes * messages),
    healPeakWireBytesPerSecond: heal.peakBytesPerSecond,
    healMeanWireBytesPerSecond: round(heal.meanBytesPerSecond),
    healedMs: heal.healedMs,
    neighbours: round(neighbours.reduce((sum, count) => sum + count, 0) / instances),
    corePercent: round((100 * (cpu.user + cpu.system)) / 1e6 / instanceSeconds, 3),
  };
}

/** Extrapolates linearly in the logarithm of the fleet size, from the two largest sizes. */
export function extrapolate(costs: readonly FleetCost[], instances: number): FleetCost {
  const [smaller, larger] = costs.slice(-2) as [FleetCost, FleetCost];
  const doublings = Math.log2(larger.instances / smaller.instances);
  const doublingsBeyond = Math.log2(instances / larger.instances);
  const extrapolateField = (field: Exclude<keyof FleetCost, 'healedMs'>) =>
    round(larger[field] + ((larger[field] - smaller[field]) / doublings) * doublingsBeyond);
  return {
    instances,
    sentMessagesPerSecond: extrapolateField('sentMessagesPerSecond'),
    sentBytesPerSecond: extrapolateField('sentBytesPerSecond'),
    wireBytesPerSecond: extrapolateField('wireBytesPerSecond'),
    healPeakWireBytesPerSecond: extrapolateField('healPeakWireBytesPerSecond'),
    healedMs: null,
    healMeanWireBytesPerSecond: extrapolateField('healMeanWireBytesPerSecond'),
    neighbours: extrapolateField('neighbours'),
    corePercent: extrapolateField('corePercent'),
  };
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

/** Measures 5, 20 and 80 instances, and extrapolates to the target fleet's size. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const costs: FleetCost[] = [];
  for (const instances of sizes) costs.push(await measureFleet(instances, seed));
  return [
    ...costs.map((cost) => ({ ...cost, isMeasured: true })),
    { ...extrapolate(costs, targetInstances), isMeasured: false },
  ];
}
