/**
 * The workload of the routing experiment and the capacity of its engines.
 */
import {
  hashText,
  millisecondsInSecond,
  type AccountId,
  type ClassName,
  type Random,
  type RequestId,
} from '@acaciacrank/base';
import type { ChatMessage } from '@acaciacrank/upstreams';

/** Number of tokens in one frame; the fake engines emit several at a time to save CPU time. */
export const tokensPerFrame = 4;

/** Number of engines; both deployments have about a dozen. */
export const engineCount = 12;

/** Number of router instances. */
export const instanceCount = 5;

/** Parameters of the fake engines, from which their capacity is computed. */
export const engineOptions = {
  maxRunningRequests: 16,
  tokenGapMs: 20 * tokensPerFrame,
  fullBatchSlowdown: 2,
  prefillTokensPerSecond: 4_000,
  cachedPrefixes: 10,
};

/** One priority class of the workload. */
export interface WorkloadClass {
  readonly className: ClassName;
  readonly priority: number;
  readonly firstTokenDeadlineMs: number;
  /** Fraction of the engines' capacity that the class uses at a load factor of 1. */
  readonly capacityShare: number;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  readonly maxFrames: number;
}

/**
 * The classes, the most important one first. Reviews use 35% of the capacity, so that they fit on
 * their own at all load factors up to 2.8.
 */
export const workloadClasses: readonly WorkloadClass[] = [
  {
    className: 'review' as ClassName,
    priority: 0,
    firstTokenDeadlineMs: 30_000,
    capacityShare: 0.35,
    prefixTokens: 400,
    promptTokens: 1_000,
    maxFrames: 40,
  },
  {
    className: 'shift' as ClassName,
    priority: 1,
    firstTokenDeadlineMs: 2_000,
    capacityShare: 0.35,
    prefixTokens: 400,
    promptTokens: 450,
    maxFrames: 12,
  },
  {
    className: 'tagging' as ClassName,
    priority: 2,
    firstTokenDeadlineMs: 10_000,
    capacityShare: 0.3,
    prefixTokens: 200,
    promptTokens: 230,
    maxFrames: 6,
  },
];

/** Share of the requests of each client account: two large accounts and eight small ones. */
const accountShares = [0.25, 0.2, 0.1, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05];

/** Number of assistants, each with its own prompt prefix, of an account in each class. */
const assistantsPerAccount = 2;

const bytesPerToken = 4;

/** One request of the workload. */
export interface WorkloadRequest {
  readonly key: string;
  readonly workloadClass: WorkloadClass;
  readonly accountId: AccountId;
  readonly messages: readonly ChatMessage[];
  readonly prefixHash: number;
}

/**
 * Mean time for which a request of a class occupies a slot of a full batch: prefill without a cached
 * prefix, then decoding at the speed of a full batch.
 *
 * @param workloadClass - the class
 * @returns milliseconds
 */
export function meanSlotMs(workloadClass: WorkloadClass): number {
  const { promptTokens, maxFrames } = workloadClass;
  const { prefillTokensPerSecond, tokenGapMs, fullBatchSlowdown } = engineOptions;
  const prefillMs = (promptTokens / prefillTokensPerSecond) * millisecondsInSecond;
  // The fake engine draws the output length uniformly between 1 and the maximum.
  const meanFrames = (maxFrames + 1) / 2;
  return prefillMs + meanFrames * tokenGapMs * fullBatchSlowdown;
}

/**
 * Arrival rate of a class at a load factor, in requests per second.
 *
 * The capacity is the number of slots of all engines with full batches: at a load factor of 1, the
 * arrival rate times the mean slot time, summed over the classes, equals the number of slots.
 *
 * @param workloadClass - the class
 * @param loadFactor - offered load as a fraction of the capacity
 */
export function arrivalsPerSecond(workloadClass: WorkloadClass, loadFactor: number): number {
  const slots = engineCount * engineOptions.maxRunningRequests;
  const classSlots = slots * workloadClass.capacityShare * loadFactor;
  return (classSlots / meanSlotMs(workloadClass)) * millisecondsInSecond;
}

/** Generates the requests of one class; they depend only on the random source. */
export class RequestSource {
  readonly #workloadClass: WorkloadClass;
  readonly #random: Random;
  #count = 0;

  constructor(workloadClass: WorkloadClass, random: Random) {
    this.#workloadClass = workloadClass;
    this.#random = random;
  }

  /** Generates the next request. */
  next(): WorkloadRequest {
    this.#count += 1;
    const { className, prefixTokens, promptTokens } = this.#workloadClass;
    const account = drawAccount(this.#random());
    const assistant = Math.floor(this.#random() * assistantsPerAccount);
    const key = `${className}-${this.#count}`;
    const prefix = `account ${account} ${className} assistant ${assistant} `;
    const system = prefix.padEnd(prefixTokens * bytesPerToken, '.');
    const user = `${key} ${this.#random()} `.padEnd((promptTokens - prefixTokens) * bytesPerToken);
    return {
      key,
      workloadClass: this.#workloadClass,
      accountId: `account-${account}` as AccountId,
      messages: [
        { role: 'system', content: system },
        { role: 'user', content: user },
      ],
      prefixHash: hashText(system),
    };
  }
}

/** The id of one attempt; {@link keyOfAttempt} extracts the request key from it. */
export function attemptId(request: WorkloadRequest, attempt: string): RequestId {
  return `${request.key}/${attempt}` as RequestId;
}

/** The key of the request that an attempt belongs to. */
export function keyOfAttempt(requestId: RequestId): string {
  return requestId.slice(0, requestId.indexOf('/'));
}

function drawAccount(point: number): number {
  let sum = 0;
  for (const [index, share] of accountShares.entries()) {
    sum += share;
    if (point < sum) return index;
  }
  return accountShares.length - 1;
}
