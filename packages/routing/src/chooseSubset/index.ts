import { hashText, type InstanceId, type UpstreamId } from '@acaciacrank/base';

/** Options of {@link chooseSubset}. */
export interface ChooseSubsetOptions {
  /** Average number of upstreams per instance; 32 by default. */
  meanUpstreams?: number;
  /**
   * Minimum number of instances per upstream, so that every upstream stays in use when an instance is
   * lost; 2 by default.
   */
  minInstancesPerUpstream?: number;
}

/**
 * Chooses the upstreams of a service that one instance uses, without communication between instances.
 *
 * Each upstream is used by the few instances that rank highest for it by rendezvous hash. Ranking
 * instances per upstream guarantees that no upstream is left without an instance, which could happen if
 * each instance picked its own upstreams at random. When an instance is removed, only its own upstreams
 * are assigned to another instance.
 *
 * @param instanceId - the instance to choose for
 * @param instanceIds - all live instances
 * @param upstreamIds - all upstreams of the service
 * @param options - subset size and minimum coverage
 * @returns ids of the chosen upstreams
 *
 * @example
 * const mine = chooseSubset(instanceId, instanceIds, upstreamIds, { meanUpstreams: 32 });
 */
export function chooseSubset(
  instanceId: InstanceId,
  instanceIds: readonly InstanceId[],
  upstreamIds: readonly UpstreamId[],
  options: ChooseSubsetOptions = {},
): ReadonlySet<UpstreamId> {
  const { meanUpstreams = 32, minInstancesPerUpstream = 2 } = options;
  const targetInstances = Math.ceil(
    (meanUpstreams * instanceIds.length) / Math.max(1, upstreamIds.length),
  );
  const instancesPerUpstream = Math.max(minInstancesPerUpstream, targetInstances);
  if (instancesPerUpstream >= instanceIds.length) return new Set(upstreamIds);
  const ownHash = hashText(instanceId);
  const otherHashes = instanceIds.filter((id) => id !== instanceId).map((id) => hashText(id));
  const isSelected = (upstreamId: UpstreamId) => {
    const upstreamHash = hashText(upstreamId);
    const score = combineHashes(ownHash, upstreamHash);
    const higherRanked = otherHashes.reduce(
      (sum, other) => sum + (combineHashes(other, upstreamHash) > score ? 1 : 0),
      0,
    );
    return higherRanked < instancesPerUpstream;
  };
  return new Set(upstreamIds.filter(isSelected));
}

/**
 * Combines two hashes, with the multipliers of Fibonacci hashing and of MurmurHash3's finalizer. Must be
 * cheap because it runs for every pair of instance and upstream.
 */
function combineHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ (b >>> 15) ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
