import { hashText } from '@acaciacrank/base';

/** A candidate that can be ranked by its id. */
export interface Identified {
  readonly id: string;
}

/**
 * Orders candidates by the rendezvous hash of a key.
 *
 * All instances compute the same order without communication, and adding or removing a candidate moves
 * only the keys for which it ranks first. Requests that share a part of their prompt are therefore sent
 * to the same engine, which already has that part in its cache.
 *
 * @param key - the key to rank for, for example a prompt part's id
 * @param candidates - in any order
 * @returns a new array, ordered from highest to lowest rank
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
