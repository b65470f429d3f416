import { hashText, type InstanceId } from '@acaciacrank/base';

/**
 * Chooses the peers that an instance sends heartbeats to: its successor in each of several hash
 * rings.
 *
 * In each ring every instance is the successor of exactly one other, so it is monitored by as many
 * peers as it monitors. A change reaches all instances in a number of hops that grows with the
 * logarithm of the fleet size. A single ring with several successors would monitor equally well,
 * but a change would have to travel along the whole ring.
 *
 * @param self - the instance that sends the heartbeats
 * @param candidates - the peers to choose from
 * @param ringCount - number of rings
 * @returns at most `ringCount` different candidates
 *
 * @example
 * chooseMonitoredPeers(self, others, 4).length;
 * //=> 4
 */
export function chooseMonitoredPeers(
  self: InstanceId,
  candidates: readonly InstanceId[],
  ringCount: number,
): InstanceId[] {
  const chosen: InstanceId[] = [];
  for (let ring = 0; ring < ringCount; ring += 1) {
    const successor = findSuccessor(
      self,
      candidates.filter((id) => !chosen.includes(id)),
      ring,
    );
    if (successor !== undefined) chosen.push(successor);
  }
  return chosen;
}

function findSuccessor(
  self: InstanceId,
  candidates: readonly InstanceId[],
  ring: number,
): InstanceId | undefined {
  const ownPosition = ringPosition(self, ring);
  const distance = (id: InstanceId) => (ringPosition(id, ring) - ownPosition) >>> 0;
  let best: InstanceId | undefined;
  let bestDistance = Infinity;
  for (const id of candidates) {
    const candidateDistance = distance(id);
    if (candidateDistance >= bestDistance) continue;
    best = id;
    bestDistance = candidateDistance;
  }
  return best;
}

function ringPosition(id: InstanceId, ring: number): number {
  return hashText(`ring ${ring}\n${id}`);
}
