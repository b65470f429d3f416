/**
 * Timeouts and size limits for forwarding requests, with the reason for each value.
 */

/** Timeout for connecting to an upstream, in milliseconds. Network latency is 1 to 3 ms. */
export const connectTimeoutMs = 500;
/** How long an upstream may take to accept a connection that shows that it has not ended, in milliseconds. */
export const endProbeTimeoutMs = 300;
/** How long the outcome of such a probe is used, in milliseconds. */
export const endProbeTtlMs = 200;
/**
 * How long an idle connection is kept open, in milliseconds, if the upstream announces no
 * keep-alive timeout.
 */
export const keepAliveTimeoutMs = 4_000;
/** Upper bound for a keep-alive timeout that an upstream announces, in milliseconds. */
export const maxKeepAliveTimeoutMs = 30_000;
/**
 * Maximum number of upstreams that a request is tried at while no connection can be opened: the lower one once that
 * has taken longer than `quickMs` in all, in milliseconds.
 */
export const connectAttempts = { slow: 3, quick: 8, quickMs: 300 } as const;
/** After how long a request is sent again to an upstream that could not be connected to, in milliseconds. */
export const reconnectDelayMs = 300;
/**
 * How long a request waits for tokens from the store, in milliseconds: the duration of two slow
 * store calls.
 */
export const tokenReserveTimeoutMs = 1_000;
/**
 * An upstream is ejected if it has sent nothing for this long while requests are pending, in
 * milliseconds.
 */
export const upstreamInactivityMs = 1_000;
/** From which time on an upstream without a sign of life counts as silent among others, in milliseconds. */
export const silenceLimitMs = 500;
/**
 * Duration of the first ejection of an upstream, in milliseconds; doubled for each further ejection
 * in a row.
 */
export const initialEjectionMs = 1_000;
/** Upper bound for the duration of an ejection, in milliseconds. */
export const maxEjectionMs = 8_000;
/**
 * How long an upstream that starts again takes at most until its record says so, while the store is available, in
 * milliseconds.
 */
export const runDoubtMs = 3_000;
/** Number of consecutive failures after which an upstream is ejected. */
export const failuresToEject = 2;
/**
 * How long upstreams may take to renew expired records once the store is available again, in
 * milliseconds.
 */
export const expiredRecordGraceMs = 2_000;
/**
 * How long an upstream stays usable whose record was seen to be removed in that time, in milliseconds: less than
 * a leaving upstream may still get requests, by the time that it takes to see the removal.
 */
export const removedRecordGraceMs = 1_400;
/** How long a caller may read nothing while data is waiting for it, in milliseconds. */
export const callerStallTimeoutMs = 10_000;
/** Maximum size of one event in bytes; a longer run of bytes is not treated as an event stream. */
export const maxEventBytes = 262_144;
/** Time reserved for returning the response to the caller, in milliseconds. */
export const responseMarginMs = 10;
/**
 * Upper bound for the delay between calls to a store that refuses them, of what follows upstreams and
 * drains, in milliseconds. The configuration is read more often: it shows that the store is available again.
 */
export const maxFollowerRetryMs = 1_000;
