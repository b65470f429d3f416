/**
 * The page of one client account's prepaid tokens: who holds how much of them.
 *
 * Nothing is written for a request. A page holds only what each lifetime of an instance may spend in
 * all, so the sum over a page bounds what was and will be spent, whoever dies at whatever moment.
 */
import type { InstanceId } from '@acaciacrank/base';
import { z } from 'zod';
import type { Lifetime } from '../types.js';

const grantSchema = z.object({
  /** All that this lifetime may ever spend. */
  grantedTokens: z.number().int().nonnegative(),
  /** What it had spent, or set aside for requests under way, when it last wrote. */
  boundTokens: z.number().int().nonnegative(),
});

const pageSchema = z.object({
  /** Grants of lifetimes that have ended; nobody knows their use, so all of it counts as spent. */
  endedTokens: z.number().int().nonnegative(),
  grants: z.record(z.string(), grantSchema),
});

/** What one lifetime holds of an account. */
export type PrepaidGrant = Readonly<z.infer<typeof grantSchema>>;

/** One account's page. */
export interface PrepaidPage {
  readonly endedTokens: number;
  readonly grants: Readonly<Record<string, PrepaidGrant>>;
}

/** The page of an account of which nothing was granted yet. */
export const emptyPrepaidPage: PrepaidPage = { endedTokens: 0, grants: {} };

/**
 * Reads a page as it lies in the store.
 *
 * @param value - the stored value
 * @returns the page; undefined where it does not parse, which must stop grants, not begin anew
 *
 * @example
 * parsePrepaidPage({ endedTokens: 0, grants: {} });
 * //=> { endedTokens: 0, grants: {} }
 */
export function parsePrepaidPage(value: unknown): PrepaidPage | undefined {
  const parsed = pageSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * All tokens that are spent or may still be.
 *
 * @example
 * grantedTotal({ endedTokens: 5, grants: { a: { grantedTokens: 10, boundTokens: 1 } } });
 * //=> 15
 */
export function grantedTotal(page: PrepaidPage): number {
  const grants = Object.values(page.grants);
  return grants.reduce((sum, grant) => sum + grant.grantedTokens, page.endedTokens);
}

/**
 * What was spent or set aside, as far as the lifetimes have told.
 *
 * @example
 * boundAtLeast({ endedTokens: 5, grants: { a: { grantedTokens: 10, boundTokens: 1 } } });
 * //=> 6
 */
export function boundAtLeast(page: PrepaidPage): number {
  const grants = Object.values(page.grants);
  return grants.reduce((sum, grant) => sum + grant.boundTokens, page.endedTokens);
}

/**
 * Sets what one lifetime holds, and closes the grants of that instance's earlier lifetimes.
 *
 * An instance begins a new lifetime only when the last one has ended, so its older grants can no
 * longer be drawn on; closing them keeps a page as small as the fleet.
 *
 * @param page - the page as it stands
 * @param lifetime - whose grant
 * @param grant - what it holds from now on
 * @returns the new page
 *
 * @example
 * withGrant(emptyPrepaidPage, lifetime, { grantedTokens: 10, boundTokens: 0 });
 */
export function withGrant(page: PrepaidPage, lifetime: Lifetime, grant: PrepaidGrant): PrepaidPage {
  const own = lifetimeKey(lifetime);
  const earlier = `${lifetime.instanceId}${keySeparator}`;
  let endedTokens = page.endedTokens;
  const grants: Record<string, PrepaidGrant> = {};
  for (const [key, held] of Object.entries(page.grants)) {
    if (key === own) continue;
    if (key.startsWith(earlier)) endedTokens += held.grantedTokens;
    else grants[key] = held;
  }
  grants[own] = grant;
  return { endedTokens, grants };
}

/** Not allowed in ids, so that no instance's name is the beginning of another's key. */
const keySeparator = '~';

/**
 * The key of a lifetime in a page.
 *
 * @example
 * lifetimeKey({ instanceId, runId: '5f' });
 * //=> 'a1~5f'
 */
export function lifetimeKey({
  instanceId,
  runId,
}: {
  instanceId: InstanceId;
  runId: string;
}): string {
  return `${instanceId}${keySeparator}${runId}`;
}

/**
 * The instance whose lifetime a key names.
 *
 * @example
 * instanceOf('a1~5f');
 * //=> 'a1'
 */
export function instanceOf(key: string): InstanceId {
  return key.slice(0, key.indexOf(keySeparator)) as InstanceId;
}
