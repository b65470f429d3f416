/**
 * A randomized soak of the real programs, with faults from outside.
 */
export type * from './types.js';
export * from './runSoak/index.js';
