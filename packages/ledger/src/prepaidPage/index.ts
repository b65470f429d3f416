/**
 * The stored page of the prepaid tokens of one client account: how many each process run holds.
 *
 * Nothing is written per request. A page contains only the total that each process run of an instance
 * may spend, so the sum over a page limits all spending, whichever instance crashes at whatever moment.
 */
import type { InstanceId } from '@acaciacrank/base';
import * as z from 'zod';
import type { ProcessRun } from '../types.js';

const grantSchema = z.object({
  /** The total that this process run may ever spend. */
  grantedTokens: z.number().int().nonnegative(),
  /** What it had spent, or reserved for requests under way, when it last wrote the page. */
  boundTokens: z.number().int().nonnegative(),
});

const pageSchema = z.object({
  /** Grants of ended process runs. Their actual use is unknown, so all of their tokens count as spent. */
  endedTokens: z.number().int().nonnegative(),
  grants: z.record(z.string(), grantSchema),
  /** Epoch of the store in which the page was last written. */
  epoch: z.number().int().nonnegative().default(0),
  /** Whether ungranted tokens may be held by runs whose grants were lost in a restore of the store. */
  isWithheld: z.boolean().default(false),
});

/** The grant of one process run in a page. */
export type PrepaidGrant = Readonly<z.infer<typeof grantSchema>>;

/** The page of one account. */
export interface PrepaidPage {
  readonly endedTokens: number;
  readonly grants: Readonly<Record<string, PrepaidGrant>>;
  /**
   * Epoch of the store in which the page was last written. A lower one than that of the store means that
   * the page is from an older copy, or from a write that was sent before the restore and executed after
   * it: it may lack grants.
   */
  readonly epoch: number;
  /** Whether ungranted tokens may be held by runs whose grants were lost in a restore of the store. */
  readonly isWithheld: boolean;
}

/** The page of an account without grants. */
export const emptyPrepaidPage: PrepaidPage = {
  endedTokens: 0,
  grants: {},
  epoch: 0,
  isWithheld: false,
};

/**
 * Parses a stored page.
 *
 * @param value - the stored value
 * @returns the page; undefined if it does not parse, in which case the caller must not grant any tokens
 * rather than start with an empty page
 *
 * @example
 * parsePrepaidPage({ endedTokens: 0, grants: {} });
 * //=> { endedTokens: 0, grants: {}, epoch: 0, isWithheld: false }
 */
export function parsePrepaidPage(value: unknown): PrepaidPage | undefined {
  const parsed = pageSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/**
 * The sum of all tokens that are spent or may still be spent.
 *
 * @example
 * grantedTotal({ ...page, endedTokens: 5, grants: { a: { grantedTokens: 10, boundTokens: 1 } } });
 * //=> 15
 */
export function grantedTotal(page: PrepaidPage): number {
  const grants = Object.values(page.grants);
  return grants.reduce((sum, grant) => sum + grant.grantedTokens, page.endedTokens);
}

/**
 * The sum of tokens that are spent or reserved, as last reported in the page.
 *
 * @example
 * reportedBoundTotal({ ...page, endedTokens: 5, grants: { a: { grantedTokens: 10, boundTokens: 1 } } });
 * //=> 6
 */
export function reportedBoundTotal(page: PrepaidPage): number {
  const grants = Object.values(page.grants);
  return grants.reduce((sum, grant) => sum + grant.boundTokens, page.endedTokens);
}

/**
 * Sets the grant of a process run, and closes the grants of earlier runs of the same instance.
 *
 * A new process run of an instance starts only after the last one has ended, so older grants can no
 * longer be used. Closing them limits the size of a page to one grant per instance.
 *
 * @param page - the current page
 * @param processRun - the process run
 * @param grant - its new grant
 * @returns the new page
 *
 * @example
 * withGrant(emptyPrepaidPage, processRun, { grantedTokens: 10, boundTokens: 0 });
 */
export function withGrant(
  page: PrepaidPage,
  processRun: ProcessRun,
  grant: PrepaidGrant,
): PrepaidPage {
  const ownKey = processRunKey(processRun);
  const instanceKeyPrefix = `${processRun.instanceId}${keySeparator}`;
  let endedTokens = page.endedTokens;
  const grants: Record<string, PrepaidGrant> = {};
  for (const [key, held] of Object.entries(page.grants)) {
    if (key === ownKey) continue;
    if (key.startsWith(instanceKeyPrefix)) endedTokens += held.grantedTokens;
    else grants[key] = held;
  }
  grants[ownKey] = grant;
  return { ...page, endedTokens, grants };
}

/** Not allowed in ids, so that no instance id with this suffix is a prefix of another instance's key. */
const keySeparator = '~';

/**
 * The key of a process run in a page.
 *
 * @example
 * processRunKey({ instanceId, runId: '5f' });
 * //=> 'a1~5f'
 */
export function processRunKey({
  instanceId,
  runId,
}: {
  instanceId: InstanceId;
  runId: string;
}): string {
  return `${instanceId}${keySeparator}${runId}`;
}

/**
 * The id of the instance in the key of a process run.
 *
 * @example
 * instanceIdOf('a1~5f');
 * //=> 'a1'
 */
export function instanceIdOf(key: string): InstanceId {
  return key.slice(0, key.indexOf(keySeparator)) as InstanceId;
}
