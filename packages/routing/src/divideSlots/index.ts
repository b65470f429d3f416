import type { InstanceId } from '@acaciacrank/base';
import { rankByKey } from '../rankByKey/index.js';

/** Slots that instances share, and the instance whose share is requested. */
export interface SlotsToDivide {
  /** Number of requests that an upstream runs at the same time, for all instances combined. */
  readonly slots: number;
  /** Id of the upstream. */
  readonly key: string;
  readonly instanceId: InstanceId;
  /** The instances that share the slots. */
  readonly sharers: readonly InstanceId[];
}

/**
 * Computes how many slots of an upstream one instance may use at the same time.
 *
 * All instances compute the same division without communication; what is left over goes to those that the rendezvous
 * hash of the upstream ranks first, so that the remainders of many upstreams spread over all instances.
 *
 * @returns a whole number; 0 if there are more instances than slots and others rank first
 *
 * @example
 * divideSlots({ slots: 6, key: 'u1', instanceId, sharers: [instanceId, second, third, fourth] });
 * //=> 1 or 2
 */
export function divideSlots({ slots, key, instanceId, sharers }: SlotsToDivide): number {
  if (!sharers.includes(instanceId)) return 0;
  const share = Math.floor(slots / sharers.length);
  const left = slots - share * sharers.length;
  if (left === 0) return share;
  const ranked = rankByKey(
    key,
    sharers.map((id) => ({ id })),
  );
  return ranked.findIndex(({ id }) => id === instanceId) < left ? share + 1 : share;
}
