import { hashText } from '@acaciacrank/base';

/** Something with an id that can be ranked. */
export interface Identified {
  readonly id: string;
}

/**
 * Orders candidates by rendezvous hash of a key.
 *
 * All instances find the same order without a message, and a candidate that comes or goes moves only
 * the keys that it was first for. So requests that share a part of their prompt meet at one engine,
 * which has read it already.
 *
 * @param key - what the order is for, for example a prompt part's id
 * @param candidates - any order
 * @returns a new list, the first choice first
 *
 * @example
 * rankByKey('5c1e07a2', engines)[0];
 */
export function rankByKey<Candidate extends Identified>(
  key: string,
  candidates: readonly Candidate[],
): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, weight: hashText(`${key}/${candidate.id}`) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ candidate }) => candidate);
}
