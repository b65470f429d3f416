/**
 * How many tokens of an account an instance should have in stock.
 */

/** What decides about stock. */
export interface StockSituation {
  /** The account's limit. */
  readonly prepaidTokens: number;
  /** What all instances have spent or set aside, as far as they have told. */
  readonly seenBoundTokens: number;
  /** The pace of use here; undefined while the account was not used anywhere. */
  readonly paceTokensPerMs: number | undefined;
  /** The pace of all instances together, as far as is known. */
  readonly fleetPaceTokensPerMs: number;
  /** Whether the account's stock is gathered at this instance. */
  readonly isHome: boolean;
}

/**
 * How long gathered stock should last at the present pace, in milliseconds. Stock carries the account
 * through an outage of the store, 5 to 9 s long, and is lost when the process dies: with all instances
 * dead at once the account loses this much of its time.
 */
export const homeStockMs = 10_000;
/** The same for an instance that can borrow, in milliseconds: a few questions to peers a second. */
const borrowedStockMs = 1_500;
/**
 * The share of the prepaid tokens that is taken before the pace is known: what an account uses in
 * {@link homeStockMs} when its tokens are meant for about a minute.
 */
const openingShareOfAll = 0.25;
/**
 * Idle stock is at most this share of what the account has not spent. Near its end an account whose
 * stock is lost with a process is refused all that it asks for later, though it has paid; so stock
 * shrinks with what is left.
 */
const idleShareOfUnspent = 0.35;

/** What an account starts with where its stock is gathered, in tokens. */
export function openingStock({ prepaidTokens, isHome }: StockSituation): number {
  return isHome ? openingShareOfAll * prepaidTokens : 0;
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
  const { prepaidTokens, seenBoundTokens, isHome, fleetPaceTokensPerMs } = situation;
  const pace = situation.paceTokensPerMs;
  if (pace === undefined) return Math.floor(openingStock(situation));
  const mostOfAll = idleShareOfUnspent * Math.max(0, prepaidTokens - seenBoundTokens);
  const ownShare = pace <= 0 ? 0 : Math.min(1, pace / Math.max(pace, fleetPaceTokensPerMs));
  const stockMs = isHome ? homeStockMs : borrowedStockMs;
  return Math.floor(Math.min(pace * stockMs, mostOfAll * ownShare));
}
