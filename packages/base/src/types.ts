/**
 * Types that all packages share: branded ids and the type of random number generators.
 *
 * A branded id is a plain string at run time. The brand only prevents one kind of id from being
 * passed where another is expected.
 */

declare const brand: unique symbol;

/** A string (or number) that the compiler distinguishes from others of the same base type. */
export type Brand<Base, Name extends string> = Base & { readonly [brand]: Name };

/** An instance of this system, or an entry in the platform's instance list. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** A location whose machines can fail together. */
export type FailureDomainId = Brand<string, 'FailureDomainId'>;
/** A client account: a customer with prepaid tokens. */
export type AccountId = Brand<string, 'AccountId'>;
/** A prepaid budget; belongs to one client account. */
export type BudgetId = Brand<string, 'BudgetId'>;
/** One grant of tokens from a budget to an instance. */
export type GrantId = Brand<string, 'GrantId'>;
/** A back end that requests are forwarded to: a model engine or a plain service instance. */
export type UpstreamId = Brand<string, 'UpstreamId'>;
/** What a request may have in common with others: a part of its prompt, or all that it asks for. */
export type FeatureId = Brand<string, 'FeatureId'>;
/** The name by which callers address a group of upstreams. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** The name of a priority class, for example `review`. */
export type ClassName = Brand<string, 'ClassName'>;
/** Identifies one request across retries: budget id and the caller's idempotency key. */
export type RequestKey = Brand<string, 'RequestKey'>;
/** Identifies one attempt to run a request; made by the instance that received it. */
export type RequestId = Brand<string, 'RequestId'>;

/** Names a stream of events: a digest of the caller's account and of the attempt that received its first event. */
export type StreamKey = Brand<string, 'StreamKey'>;

/** Returns the next random number, in [0, 1). */
export type Random = () => number;
