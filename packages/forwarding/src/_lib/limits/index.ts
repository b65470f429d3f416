/**
 * Bounds of the forwarding path, each with where its figure comes from.
 */

/** How long a connection to an upstream may take to come about, in milliseconds: links take 1 to 3. */
export const connectLimitMs = 500;
/** How long a kept connection may lie idle, in milliseconds, where the upstream names no time. */
export const idleConnectionMs = 4_000;
/** The longest idle time that an upstream may name, in milliseconds. */
export const longestIdleConnectionMs = 30_000;
/** Upstreams tried one after the other when none could be connected to. */
export const maxUnsentAttempts = 3;
/** How long a request may wait for tokens from the store, in milliseconds: two slow calls. */
export const tokenWaitLimitMs = 1_000;
/** An upstream that sent nothing for this long while it owed something is left out, in milliseconds. */
export const silenceMs = 1_000;
/** How long an upstream is left out after failures in a row, in milliseconds; doubles each time. */
export const firstLeftOutMs = 1_000;
/** The longest time for which an upstream is left out, in milliseconds. */
export const longestLeftOutMs = 8_000;
/** Failures in a row after which an upstream is left out. */
export const failuresToLeaveOut = 2;
/** After the store's return, lapsed upstreams are back within this time, in milliseconds. */
export const lapsedGraceMs = 2_000;
/** The most bytes that bodies and answers hold together: a small part of the memory of an instance. */
export const heldBytesLimit = 64 * 1_048_576;
/** How long a caller may read nothing while something waits for it, in milliseconds. */
export const callerStallLimitMs = 10_000;
/** Bytes of one event; beyond that an upstream's bytes are no events. */
export const maxEventBytes = 1_048_576;
/** Time kept for the answer on its way back, in milliseconds. */
export const returnMarginMs = 10;
