/** Inputs for choosing the instances in a directory response. */
export interface DirectoryView<Instance> {
  readonly self: Instance;
  /** Whether this instance accepts requests. */
  readonly isReady: boolean;
  /**
   * Whether this instance recently refused requests because it could not get tokens from the store.
   */
  readonly isShortOfTokens: boolean;
  /** Whether this instance reaches upstreams; its requests are relayed by peers if not. */
  readonly isReachingUpstreams: boolean;
  readonly isStoreUnavailable: boolean;
  /** Other instances that are live, or suspected but not yet removed. */
  readonly usablePeers: readonly Instance[];
  /** Number of other known instances, reachable or not. */
  readonly peerCount: number;
}

/**
 * Chooses the instances in a directory response, the list from which a caller selects the instance
 * that it sends requests to.
 *
 * An instance that reaches neither the store nor any other instance is most likely partitioned from
 * the rest. So is one that reaches only a minority of the others and has run out of tokens. It
 * lists no instance, so that callers ask another directory that knows more: by listing itself it
 * would collect callers where no tokens are available, and whether the instances that it does not
 * reach are running would be a guess.
 *
 * @param view - the state of this instance and its peers
 * @returns the instances to list; empty if callers should ask another directory
 *
 * @example
 * chooseDirectoryInstances({ ...view, isReady: true, usablePeers: [other] });
 * //=> [self, other]
 */
export function chooseDirectoryInstances<Instance>(
  view: DirectoryView<Instance>,
): readonly Instance[] {
  const { self, isReady, isShortOfTokens, isReachingUpstreams, usablePeers } = view;
  if (isIsolated(view)) return [];
  const isUseful = isReachingUpstreams && !isShortOfTokens;
  const isSelfListed = isReady && (isUseful || usablePeers.length === 0);
  return isSelfListed ? [self, ...usablePeers] : usablePeers;
}

function isIsolated({
  isShortOfTokens,
  isStoreUnavailable,
  usablePeers,
  peerCount,
}: DirectoryView<unknown>): boolean {
  if (!isStoreUnavailable || peerCount === 0) return false;
  const reachesMinority = 2 * usablePeers.length < peerCount;
  return usablePeers.length === 0 || (isShortOfTokens && reachesMinority);
}
