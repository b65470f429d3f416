/**
 * What is assumed about a store that returns from an older copy. Every holder of state relies on the
 * same values.
 */

/** The greatest age of the copy, in milliseconds: ten seconds more than the store's own history. */
export const maxCopyAgeMs = 30_000;

/** How long after it was sent a write may still be executed, in milliseconds. */
export const maxLateWriteMs = 10_000;
