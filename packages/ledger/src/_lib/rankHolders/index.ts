import type { InstanceId } from '@acaciacrank/base';
import { instanceIdOf, type PrepaidPage } from '../../prepaidPage/index.js';

/** What an instance knows about the holders of the tokens of an account. */
export interface KnownHolders {
  /** The account's page as last read; undefined if it has to be read again. */
  readonly page: PrepaidPage | undefined;
  /** Outstanding loans by the key of the process run. */
  readonly loans: Iterable<readonly [string, number]>;
  readonly ownInstance: InstanceId;
}

/**
 * Orders the other instances by the tokens of an account that they are known to hold.
 *
 * When an account is nearly exhausted, its remaining tokens are at instances that borrowed them or have
 * grants. Asking all of them would take too long for a waiting request.
 *
 * @param known - the page and the outstanding loans
 * @returns the instances that hold tokens, in descending order of tokens
 *
 * @example
 * rankHolders({ page, loans: loans.outstanding(), ownInstance })[0];
 */
export function rankHolders({ page, loans, ownInstance }: KnownHolders): InstanceId[] {
  const tokensByInstance = new Map<InstanceId, number>();
  const addTokens = (runKey: string, tokens: number) => {
    const instance = instanceIdOf(runKey);
    // Tokens held by an earlier process run of this instance are lost.
    if (instance !== ownInstance)
      tokensByInstance.set(instance, (tokensByInstance.get(instance) ?? 0) + tokens);
  };
  for (const [runKey, grant] of Object.entries(page?.grants ?? {})) {
    addTokens(runKey, grant.grantedTokens - grant.boundTokens);
  }
  for (const [runKey, tokens] of loans) addTokens(runKey, tokens);
  const holders = [...tokensByInstance]
    .filter(([, tokens]) => tokens > 0)
    .sort((a, b) => b[1] - a[1]);
  return holders.map(([instance]) => instance);
}
