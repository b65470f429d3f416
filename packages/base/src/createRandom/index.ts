import type { Random } from '../types.js';

/**
 * Creates a seeded random number generator (mulberry32), so that experiments and fault-injection
 * runs are repeatable.
 *
 * @param seed - any whole number
 * @returns a function that yields numbers in [0, 1), the same sequence for the same seed
 *
 * @example
 * createRandom(1)() === createRandom(1)();
 * //=> true
 */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
