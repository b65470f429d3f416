/** What the directory's answer goes by. */
export interface NamingView<Instance> {
  readonly self: Instance;
  /** Whether this instance takes requests. */
  readonly isReady: boolean;
  /** Whether requests were refused here just now since the store could not be asked for tokens. */
  readonly isShortOfTokens: boolean;
  readonly isStoreAway: boolean;
  /** Other instances that answer, or are only doubted so far. */
  readonly usable: readonly Instance[];
  /** How many other instances are known, whether or not they answer. */
  readonly peerCount: number;
}

/**
 * Chooses whom the directory names.
 *
 * An instance that reaches neither the store nor any other instance is most likely the one that is cut
 * off, and so is one that reaches a few and has run out of tokens. It names nobody, so that callers ask
 * another directory, which knows better: naming itself would gather them where no tokens are, and naming
 * those that it does not reach would be a guess.
 *
 * @param view - what is known
 * @returns the instances to name; none where another directory should be asked
 *
 * @example
 * chooseNamed({ ...view, isReady: true, usable: [other] });
 * //=> [self, other]
 */
export function chooseNamed<Instance>(view: NamingView<Instance>): readonly Instance[] {
  const { self, isReady, isShortOfTokens, usable } = view;
  if (isCutOff(view)) return [];
  const isWanted = isReady && (!isShortOfTokens || usable.length === 0);
  return isWanted ? [self, ...usable] : usable;
}

function isCutOff({
  isShortOfTokens,
  isStoreAway,
  usable,
  peerCount,
}: NamingView<unknown>): boolean {
  if (!isStoreAway || peerCount === 0) return false;
  const reachesFew = 2 * usable.length < peerCount;
  return usable.length === 0 || (isShortOfTokens && reachesFew);
}
