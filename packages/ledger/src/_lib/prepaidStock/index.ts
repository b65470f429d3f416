/**
 * Target size of the stock: the tokens of an account that an instance holds in advance.
 */

/** The values that determine the target stock. */
export interface StockInputs {
  /** The limit of the account. */
  readonly prepaidTokens: number;
  /** Tokens spent or reserved by all instances, as known to this instance. */
  readonly seenBoundTokens: number;
  /** The usage rate at this instance; undefined if the account was not used anywhere yet. */
  readonly usageTokensPerMs: number | undefined;
  /** The usage rate of all instances together, as known to this instance. */
  readonly fleetUsageTokensPerMs: number;
  /** Whether this instance is the home of the account. */
  readonly isHome: boolean;
  /** Whether this instance knows the other instances. */
  readonly isMembershipKnown: boolean;
  /** The number of instances that may hold tokens of the account; infinite if unknown. */
  readonly instanceCount: number;
  /** For how long the store has been available without interruption, in milliseconds. */
  readonly storeHealthyMs: number;
}

/**
 * How long the stock at the home should last at the current usage rate, in milliseconds. It covers an
 * outage of the store of 5 to 9 s, but is lost in a crash: if all instances crash at once, the account
 * loses the tokens of this duration.
 */
export const homeStockDurationMs = 14_000;
/**
 * How long the stock at the home should last right after a start or an outage, in milliseconds. The
 * duration grows while the store stays available. Faults tend to occur together, and a stock that is
 * refilled at once after an outage is lost if the instance crashes next.
 */
const initialStockDurationMs = 2_000;
/** How long stock should last at an instance that can borrow, in milliseconds; a few requests per second. */
const borrowedStockDurationMs = 400;
/**
 * The share of the prepaid tokens that the home holds before the usage rate is known: what an account
 * uses in {@link homeStockDurationMs} if its tokens are meant for about a minute.
 */
const initialStockShare = 0.25;
/**
 * The largest share of the tokens of an unused account that may be idle stock, since all instances may
 * crash at any moment and their stock is then lost.
 */
const maxIdleShare = 0.7;

/**
 * The share of the maximum idle stock that an instance holds before it knows the other instances, when
 * each of them may consider itself the home.
 */
const startupStockShare = 0.1;
/** The share that all instances together hold at that time, however many they are. */
const fleetStartupStockShare = 0.4;

/** The initial stock of an account, in tokens; 0 except at its home. */
export function initialStockTokens(inputs: StockInputs): number {
  if (!inputs.isHome) return 0;
  if (!inputs.isMembershipKnown) {
    const share = Math.min(startupStockShare, fleetStartupStockShare / inputs.instanceCount);
    return share * maxIdleTokens(inputs);
  }
  return Math.min(initialStockShare * inputs.prepaidTokens, maxIdleTokens(inputs));
}

/**
 * The maximum idle stock of all instances together, in tokens.
 *
 * It limits the loss if all instances crash at once, as their stock then counts as spent. The loss does
 * not affect an account that is never used up. An account that is used up is refused tokens that it has
 * paid for, and the fewer tokens are left, the more likely this is. Therefore the limit decreases with
 * the square of the remaining share.
 */
function maxIdleTokens({ prepaidTokens, seenBoundTokens }: StockInputs): number {
  const unspentTokens = Math.max(0, prepaidTokens - seenBoundTokens);
  const unspentShare = unspentTokens / Math.max(1, prepaidTokens);
  return maxIdleShare * unspentTokens * unspentShare;
}

/**
 * The target stock of an instance, in whole tokens.
 *
 * @param inputs - what the instance knows about the account
 *
 * @example
 * targetStockTokens({ ...inputs, usageTokensPerMs: 2, isHome: true });
 */
export function targetStockTokens(inputs: StockInputs): number {
  const { isHome, fleetUsageTokensPerMs } = inputs;
  const tokensPerMs = inputs.usageTokensPerMs;
  if (tokensPerMs === undefined) return Math.floor(initialStockTokens(inputs));
  const instanceShare =
    tokensPerMs <= 0 ? 0 : Math.min(1, tokensPerMs / Math.max(tokensPerMs, fleetUsageTokensPerMs));
  const homeDurationMs = Math.min(
    homeStockDurationMs,
    initialStockDurationMs + inputs.storeHealthyMs,
  );
  const durationMs = isHome ? homeDurationMs : borrowedStockDurationMs;
  return Math.floor(Math.min(tokensPerMs * durationMs, maxIdleTokens(inputs) * instanceShare));
}
