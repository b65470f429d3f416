import type { InstanceId } from '@acaciacrank/base';
import { rankByKey } from '../rankByKey/index.js';

/** A rate that instances share, and the instance whose share is requested. */
export interface RateToDivide {
  /** The rate for all instances combined. */
  readonly requestsPerSecond: number;
  /** What the rate applies to, for example an upstream's id. */
  readonly key: string;
  readonly instanceId: InstanceId;
  /** The instances that share the rate. */
  readonly sharers: readonly InstanceId[];
  /** Maximum number of instances that hold a share; unlimited by default. */
  readonly maxHolders?: number;
}

/**
 * The smallest share where several instances hold one, in requests per second. Limits how far bursts
 * of one request per holder can exceed the rate.
 */
const minShare = 1;
/**
 * Lower rates are raised to this one, in requests per second: an upstream that receives no requests
 * cannot report that its limit has changed.
 */
const minRate = 0.1;

/**
 * Computes the share of a rate that one instance may use.
 *
 * As many instances as the rate allows hold equal shares, selected by rendezvous hash of the key; the
 * others hold none. All instances compute the same division without communication, and an instance
 * that joins or leaves moves only its own share.
 *
 * @returns requests per second; 0 if the instance holds no share
 *
 * @example
 * divideRate({ requestsPerSecond: 1.5, key: 'u1', instanceId, sharers: [instanceId] });
 * //=> 1.5
 */
export function divideRate({
  requestsPerSecond,
  key,
  instanceId,
  sharers,
  maxHolders = Infinity,
}: RateToDivide): number {
  const rate = Math.max(minRate, requestsPerSecond);
  const holdersByRate = Math.max(1, Math.floor(rate / minShare));
  const holderCount = Math.min(sharers.length, holdersByRate, maxHolders);
  const ranked = rankByKey(
    key,
    sharers.map((id) => ({ id })),
  );
  const rank = ranked.findIndex(({ id }) => id === instanceId);
  return rank >= 0 && rank < holderCount ? rate / holderCount : 0;
}
