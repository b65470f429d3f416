/** What is known about a store that returned from an older copy. */
export interface RestoreKnowledge {
  /** The epoch in which the store began; undefined until it is known. */
  firstEpoch: () => number | undefined;
  /** Whether all grants from before the given epoch are known to be in their pages again. */
  isAccounted: (epoch: number) => boolean;
}
