import type { Random } from '@acaciacrank/base';

/** An upstream that can be probed. */
export interface ProbeTarget {
  /** `IP:PORT`. */
  readonly address: string;
  /** Time since anything came from it, in milliseconds; infinite if nothing ever has. */
  readonly sinceReceivedMs: number;
}

/** Options of {@link chooseProbeTargets}. */
export interface ChooseProbeTargetsOptions {
  readonly count: number;
  readonly random: Random;
}

/** Number of targets that were heard of last; the others are drawn at random. */
const heardOfCount = 2;

/**
 * Chooses the upstreams whose probes show whether an instance reaches any.
 *
 * Guards against taking many upstreams that have ended for an instance that is cut off: those that were heard of last
 * are the least likely to have ended, and do not accept either where the instance is cut off.
 *
 * @param targets - all upstreams
 * @param options - number of targets, and random numbers to draw those that were not heard of last
 *
 * @example
 * chooseProbeTargets(targets, { count: 4, random: Math.random }).length; //=> 4
 */
export function chooseProbeTargets(
  targets: readonly ProbeTarget[],
  { count, random }: ChooseProbeTargetsOptions,
): readonly ProbeTarget[] {
  const chosen = new Set<ProbeTarget>();
  for (let index = 0; index < heardOfCount; index += 1) {
    let best: ProbeTarget | undefined;
    for (const target of targets) {
      if (chosen.has(target)) continue;
      if (best === undefined || target.sinceReceivedMs < best.sinceReceivedMs) best = target;
    }
    if (best !== undefined) chosen.add(best);
  }
  const others = targets.filter((target) => !chosen.has(target));
  while (chosen.size < count && others.length > 0) {
    for (const target of others.splice(Math.floor(random() * others.length), 1)) chosen.add(target);
  }
  return [...chosen];
}
