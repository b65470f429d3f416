/**
 * How many tokens of an account an instance should have in stock.
 */

/** What decides about stock. */
export interface StockSituation {
  /** The account's limit. */
  readonly prepaidTokens: number;
  /** What all instances have spent or set aside, as far as is known here. */
  readonly seenBoundTokens: number;
  /** The pace of use here; undefined while the account was not used anywhere. */
  readonly paceTokensPerMs: number | undefined;
  /** The pace of all instances together, as far as is known. */
  readonly fleetPaceTokensPerMs: number;
  /** Whether the account's stock is gathered at this instance. */
  readonly isHome: boolean;
  /** Whether the account was looked at since this instance knows the others. */
  readonly isMeasured: boolean;
  /** For how long the store has answered without a break, in milliseconds. */
  readonly storeCalmMs: number;
}

/**
 * How long gathered stock should last at the present pace, in milliseconds. Stock carries the account
 * through an outage of the store, 5 to 9 s long, and is lost when the process dies: with all instances
 * dead at once the account loses this much of its time.
 */
export const homeStockMs = 14_000;
/**
 * How long gathered stock should last right after a start or an outage, in milliseconds; it grows with
 * the calm that follows, since faults come together: what is filled up at once after an outage is lost
 * when the instance dies next.
 */
const firstStockMs = 2_000;
/** The same for an instance that can borrow, in milliseconds: a few questions to peers a second. */
const borrowedStockMs = 400;
/**
 * The share of the prepaid tokens that is taken before the pace is known: what an account uses in
 * {@link homeStockMs} when its tokens are meant for about a minute.
 */
const openingShareOfAll = 0.25;
/**
 * Idle stock of an untouched account is at most this share of its tokens: all instances may die at any
 * moment, and what they hold then is lost.
 */
const idleShareOfAll = 0.7;

/**
 * The share of the most idle stock that an instance takes before it knows the others: each of them may
 * take itself for the one where stock is gathered.
 */
const unmeasuredShare = 0.1;

/** What an account starts with where its stock is gathered, in tokens. */
export function openingStock(situation: StockSituation): number {
  if (!situation.isHome) return 0;
  if (!situation.isMeasured) return unmeasuredShare * mostIdle(situation);
  return Math.min(openingShareOfAll * situation.prepaidTokens, mostIdle(situation));
}

/**
 * The most that may lie idle at all instances together, in tokens.
 *
 * Answers the death of all instances at once. What they held counts as spent. To an account that is
 * never used up this costs nothing; one that is has paid for what it is refused, and the less it has
 * left, the surer it is to get there. So stock shrinks with the square of what is left.
 */
function mostIdle({ prepaidTokens, seenBoundTokens }: StockSituation): number {
  const unspentTokens = Math.max(0, prepaidTokens - seenBoundTokens);
  const unspentShare = unspentTokens / Math.max(1, prepaidTokens);
  return idleShareOfAll * unspentTokens * unspentShare;
}

/**
 * The stock that an instance should have, in whole tokens.
 *
 * @param situation - what is known of the account
 *
 * @example
 * wantedStock({ ...situation, paceTokensPerMs: 2, isHome: true });
 */
export function wantedStock(situation: StockSituation): number {
  const { isHome, fleetPaceTokensPerMs } = situation;
  const pace = situation.paceTokensPerMs;
  if (pace === undefined) return Math.floor(openingStock(situation));
  const ownShare = pace <= 0 ? 0 : Math.min(1, pace / Math.max(pace, fleetPaceTokensPerMs));
  const gatheredMs = Math.min(homeStockMs, firstStockMs + situation.storeCalmMs);
  const stockMs = isHome ? gatheredMs : borrowedStockMs;
  return Math.floor(Math.min(pace * stockMs, mostIdle(situation) * ownShare));
}
