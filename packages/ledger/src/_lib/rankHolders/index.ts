import type { InstanceId } from '@acaciacrank/base';
import { instanceOf, type PrepaidPage } from '../../prepaidPage/index.js';

/** What is known of who holds tokens of an account. */
export interface KnownHolders {
  /** The account's page as last read; undefined where it has to be read again. */
  readonly page: PrepaidPage | undefined;
  /** What lifetimes were lent and have not given back. */
  readonly loans: Iterable<readonly [string, number]>;
  readonly ownInstance: InstanceId;
}

/**
 * Orders other instances by the tokens of an account that they hold, as far as is known.
 *
 * Answers an account near its end: what is left of it lies with instances that borrowed it or were
 * granted it, and asking all of them would take a request too long.
 *
 * @param known - the page and the loans
 * @returns instances that hold something, those with most first
 *
 * @example
 * rankHolders({ page, loans: loans.outstanding(), ownInstance })[0];
 */
export function rankHolders({ page, loans, ownInstance }: KnownHolders): InstanceId[] {
  const held = new Map<InstanceId, number>();
  const add = (lifetime: string, tokens: number) => {
    const instance = instanceOf(lifetime);
    // What an earlier run of this instance held went with it.
    if (instance !== ownInstance) held.set(instance, (held.get(instance) ?? 0) + tokens);
  };
  for (const [lifetime, grant] of Object.entries(page?.grants ?? {})) {
    add(lifetime, grant.grantedTokens - grant.boundTokens);
  }
  for (const [lifetime, tokens] of loans) add(lifetime, tokens);
  const holders = [...held].filter(([, tokens]) => tokens > 0).sort((a, b) => b[1] - a[1]);
  return holders.map(([instance]) => instance);
}
