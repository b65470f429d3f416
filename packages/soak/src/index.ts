/**
 * Randomized soak test that runs the real programs as processes and injects faults from outside.
 */
export type * from './types.js';
export * from './runSoak/index.js';
