/**
 * Schemas that validate messages from peers, which may run another version or be faulty.
 *
 * To add a message, add its schema to the union here; the type is inferred from it.
 */
import type {
  AccountId,
  BudgetId,
  FailureDomainId,
  FeatureId,
  GrantId,
  InstanceId,
  ServiceName,
  StreamKey,
  UpstreamId,
} from '@acaciacrank/base';
import * as z from 'zod';

const instanceId = z.string().min(1).max(64) as unknown as z.ZodType<InstanceId>;
/** Maximum number of upstreams in one reply; more would exceed the maximum message size. */
const maxUpstreams = 4_096;
/** Maximum number of drained failure domains in one reply. */
const maxDrainedDomains = 256;
/** Maximum length of the version of an upstream's software. */
const maxVersionLength = 64;
const maxPort = 65_535;
const nonNegativeInteger = z.number().int().nonnegative();
const failureDomainId = z.string().max(64) as unknown as z.ZodType<FailureDomainId>;

/** Those parts of an array that match a schema: one odd part does not hide the others. */
function readableOf<Part>(schema: z.ZodType<Part>, maxParts: number) {
  return z
    .array(z.unknown())
    .max(maxParts)
    .transform((parts) => parts.map((part) => schema.safeParse(part).data))
    .transform((parts) => parts.filter((part) => part !== undefined));
}

/** Identifies a budget in the ledger. */
const budgetSchema = z.object({
  accountId: z.string().max(256) as unknown as z.ZodType<AccountId>,
  budgetId: z.string().max(256) as unknown as z.ZodType<BudgetId>,
  openingTokens: nonNegativeInteger,
});

/** Tokens of a grant that its holder transfers to another instance. */
const transferSchema = z.object({
  grantId: z.string().max(256) as unknown as z.ZodType<GrantId>,
  tokens: nonNegativeInteger,
  remainingMs: z.number().nonnegative(),
});

/** Identifies one process run of an instance in the ledger. */
const processRunKey = z.string().max(128);

/**
 * A request for prepaid tokens to the instance that holds the account's stock of them, or to its
 * backup. Includes the running total of tokens that the sender has passed on to the receiver; the
 * fields are those of `LoanRequest` in the ledger package.
 */
const loanSchema = z.object({
  accountId: z.string().max(256) as unknown as z.ZodType<AccountId>,
  borrower: processRunKey,
  limitVersion: nonNegativeInteger,
  givenTo: processRunKey,
  givenTokens: nonNegativeInteger,
  neededTokens: nonNegativeInteger,
  wantedTokens: nonNegativeInteger,
});

/** An upstream as the store lists it. */
const upstreamSchema = z.object({
  id: z.string().max(256) as unknown as z.ZodType<UpstreamId>,
  service: z.string().max(256) as unknown as z.ZodType<ServiceName>,
  ip: z.string().max(64),
  port: nonNegativeInteger.min(1).max(maxPort),
  failureDomain: failureDomainId,
  slots: z.number().positive(),
  state: z.enum(['live', 'leaving']),
  startedAtMs: z.number().int().optional(),
  softwareVersion: z.string().max(maxVersionLength).optional(),
  /** How much longer it warms up, in milliseconds, when the record was written. */
  warmUpMs: z.number().nonnegative().optional(),
  /** Version of the stored record. */
  version: nonNegativeInteger.optional(),
});

/** A rate limit from an upstream's response; ages are relative to when the message is sent. */
const upstreamLimitSchema = z.object({
  upstreamId: z.string().max(256) as unknown as z.ZodType<UpstreamId>,
  /** Identifies the run of the upstream. */
  startedAtMs: z.number().int().optional(),
  /** Limit for all instances combined; null if the upstream no longer sets a limit. */
  requestsPerSecond: z.number().nonnegative().nullable(),
  /** How long ago the request was sent, and its response received, in milliseconds. */
  sentAgeMs: z.number().nonnegative(),
  receivedAgeMs: z.number().nonnegative(),
});

/** What a request may have in common with others. */
const featureId = z.string().min(1).max(128) as unknown as z.ZodType<FeatureId>;
/** Maximum number of features in a message, of a request, and that are blamed together. */
const maxFeatures = { inMessage: 256, ofRequest: 64 } as const;
/** Names one attempt to send a request. */
const attemptId = z.string().max(96);

/** Maximum number of upstreams among which the home of a suspect chooses. */
const maxCandidates = 32;
const upstreamId = z.string().max(256) as unknown as z.ZodType<UpstreamId>;
const serviceName = z.string().max(256) as unknown as z.ZodType<ServiceName>;

const requestFeatures = z.array(featureId).max(maxFeatures.ofRequest);

/** A request that was running at a crash; the age is relative to when the message is sent. */
const crashedRequestSchema = z.object({
  content: featureId,
  parts: requestFeatures,
  sentAgeMs: z.number().nonnegative(),
  /** Whether it was sent apart from other suspects; absent from earlier releases. */
  isIsolated: z.boolean().optional(),
});

/** Features that are blamed: a request with all of them is sent to no upstream. */
const blameSchema = z.object({
  features: requestFeatures.min(1),
  crashCount: nonNegativeInteger,
  ageMs: z.number().nonnegative(),
});
const blames = z.array(blameSchema).max(64);
const suspects = z
  .array(z.object({ feature: featureId, crashCount: nonNegativeInteger }))
  .max(maxFeatures.inMessage);

const questions = z.array(featureId).max(maxFeatures.inMessage);

/** Requests of one instance that were running at an upstream when it crashed. */
export const crashReportSchema = z.object({
  service: serviceName,
  upstreamId,
  ageMs: z.number().nonnegative(),
  requests: z.array(crashedRequestSchema).max(maxFeatures.inMessage),
});

/** Maximum number of streams in one message, and of the runs that began them. */
const maxStreams = 512;
const streamKey = z.string().min(1).max(64) as unknown as z.ZodType<StreamKey>;

/** The run of an upstream that began streams; without start or version if these are not known. */
const streamOriginSchema = z.object({
  service: serviceName,
  upstreamId,
  startedAtMs: z.number().int().optional(),
  softwareVersion: z.string().max(maxVersionLength).optional(),
  streams: z.array(streamKey).max(maxStreams),
});
const streamOrigins = z.array(streamOriginSchema).max(maxStreams);

/** A record of a member, sent by the member itself or by any other. */
export const memberRecordSchema = z.object({
  id: instanceId,
  /** Identifies one run of the instance's process; differs after each restart. */
  life: z.string().max(32),
  /**
   * Orders the records of a member; only the member itself raises it. 0: no record was received
   * from the member yet.
   */
  incarnation: nonNegativeInteger,
  /** The state that the member announced. */
  state: z.enum(['starting', 'live', 'leaving', 'left']),
  /**
   * Whether an instance suspects the member because neither it nor others could reach the member.
   */
  isSuspect: z.boolean(),
  /** `http://IP:PORT` for callers. */
  url: z.string().max(128),
  /** `ws://IP:PORT` for peers. */
  fleetUrl: z.string().max(128),
  failureDomain: z.string().max(64),
});

const gossipFields = {
  /** Matches an acknowledgement to its heartbeat. */
  sequence: nonNegativeInteger,
  /** The sender's highest configuration version in force; 0 for none. */
  configurationVersion: nonNegativeInteger,
  /**
   * A hash of the sender's view; peers whose hashes differ send each other slices of their views.
   */
  viewHash: nonNegativeInteger,
  /** The sender's own record first, then records of other members. */
  records: z.array(memberRecordSchema).max(32),
};

/** A request to a peer. */
export const fleetRequestSchema = z.discriminatedUnion('kind', [
  /** Queries whether the peer can reach a member. */
  z.object({ kind: z.literal('probe'), target: instanceId }),
  /** Requests the peer's manifest if its version is above the given one. */
  z.object({ kind: z.literal('manifest'), aboveVersion: nonNegativeInteger }),
  /** Requests an object of the peer's configuration. */
  z.object({ kind: z.literal('configurationObject'), digest: z.string().max(128) }),
  /** Asks the peer to return its unused tokens of a budget to the budget's ledger page. */
  z.object({ kind: z.literal('giveBack'), budget: budgetSchema }),
  /** Asks the peer to transfer tokens of a budget; `life` identifies the run of the requester. */
  z.object({
    kind: z.literal('handOver'),
    life: z.string().max(64),
    budget: budgetSchema,
    tokens: nonNegativeInteger,
  }),
  /**
   * Requests a loan of prepaid tokens, or reports tokens passed on to the peer; see `PrepaidPeers` of
   * the ledger package.
   */
  z.object({ kind: z.literal('prepaidTokens'), loan: loanSchema }),
  /** Reports a crash to a home of the service, and asks what its crashes show by now. */
  z.object({ kind: z.literal('crashReport'), report: crashReportSchema }),
  /** Asks the home of a service whether a request that is under suspicion may be sent. */
  z.object({
    kind: z.literal('suspectAttempt'),
    service: serviceName,
    content: featureId,
    parts: requestFeatures,
    attempt: attemptId,
    /** Upstreams to which it may be sent, the preferred one first. */
    candidates: z.array(upstreamId).max(maxCandidates),
  }),
  /** Asks which runs of upstreams began streams. */
  z.object({ kind: z.literal('streamOrigins'), streams: z.array(streamKey).max(maxStreams) }),
  /** Requests the upstreams that the peer knows from the store. */
  z.object({ kind: z.literal('upstreams') }),
  /** Asks a peer that watches the store for the changes under a prefix after a revision. */
  z.object({
    kind: z.literal('storeChanges'),
    prefix: z.string().max(256),
    sinceRevision: nonNegativeInteger,
    /** How long the peer waits for a change, in milliseconds; absent from earlier releases. */
    waitMs: z.number().nonnegative().max(60_000).optional(),
  }),
]);

/** A change of an object in the store; `object` is undefined when it was removed. */
const storeChangeSchema = z.object({
  key: z.string().max(512),
  revision: nonNegativeInteger,
  object: z
    .object({ key: z.string().max(512), version: nonNegativeInteger, value: z.unknown() })
    .optional(),
});

/** A reply to a request. */
export const fleetReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('probe'), isReachable: z.boolean() }),
  /**
   * `manifest` is validated by the package that defines it; undefined when there is no newer one.
   */
  z.object({ kind: z.literal('manifest'), manifest: z.unknown().optional() }),
  /** The requester verifies `text` against the digest; undefined when the peer does not have it. */
  z.object({ kind: z.literal('configurationObject'), text: z.string().optional() }),
  z.object({ kind: z.literal('giveBack') }),
  /** The tokens belong to the requester, provided that it has not restarted since the request. */
  z.object({
    kind: z.literal('handOver'),
    life: z.string().max(64),
    transfers: z.array(transferSchema).max(64),
  }),
  z.object({
    kind: z.literal('prepaidTokens'),
    lender: processRunKey,
    /** Total tokens that the lender has transferred to this run of the requester. */
    lentTokens: nonNegativeInteger,
    outcome: z.enum(['lent', 'exhausted', 'heldElsewhere', 'storeAway', 'behind']),
  }),
  z.object({
    kind: z.literal('suspectAttempt'),
    verdict: z.enum(['clear', 'granted', 'busy', 'quarantined']),
    /** The upstream to send it to, if that is granted. */
    upstreamId: upstreamId.optional(),
    /** Whether it is sent apart from other suspects; absent from earlier releases. */
    isIsolated: z.boolean().optional(),
    blames,
  }),
  z.object({ kind: z.literal('crashReport'), blames, suspects, questions }),
  /** Of the streams that the peer knows. */
  z.object({ kind: z.literal('streamOrigins'), origins: streamOrigins }),
  /** `isCurrent` is false, and `records` empty, when the peer cannot reach the store either. */
  z.object({
    kind: z.literal('upstreams'),
    isCurrent: z.boolean(),
    records: readableOf(upstreamSchema, maxUpstreams),
    /** Failure domains whose upstreams get no new requests; absent from earlier releases. */
    drainedDomains: z.array(failureDomainId).max(maxDrainedDomains).optional(),
  }),
  /** `isCurrent` is false when the peer does not watch the store, or misses some of the changes. */
  z.object({
    kind: z.literal('storeChanges'),
    isCurrent: z.boolean(),
    changes: z.array(storeChangeSchema).max(maxUpstreams),
    revision: nonNegativeInteger,
    /** Time since the store itself last responded to the peer, in milliseconds; absent from earlier releases. */
    ageMs: z.number().nonnegative().optional(),
  }),
  /** The peer could not handle the request. */
  z.object({ kind: z.literal('failed'), reason: z.string().max(512) }),
]);

/** A message between instances. */
export const fleetMessageSchema = z.discriminatedUnion('kind', [
  /** Shows that the sender is alive, and requests an acknowledgement. */
  z.object({ kind: z.literal('heartbeat'), ...gossipFields }),
  z.object({ kind: z.literal('heartbeatAck'), ...gossipFields }),
  /** Changed records that do not wait for the next heartbeat; not acknowledged. */
  z.object({ kind: z.literal('news'), ...gossipFields }),
  /** Announces a newer configuration in force at the sender, from which it can be fetched. */
  z.object({ kind: z.literal('configurationChanged'), version: nonNegativeInteger }),
  /** Rate limits that the sender knows from responses of upstreams. */
  z.object({
    kind: z.literal('upstreamLimits'),
    limits: z.array(upstreamLimitSchema).max(512),
  }),
  /** Which runs of upstreams began streams, to the homes of these. */
  z.object({ kind: z.literal('streamOrigins'), origins: streamOrigins }),
  /** What crashes of a service's upstreams show, from its homes to all. */
  z.object({
    kind: z.literal('crashSuspects'),
    service: serviceName,
    blames,
    suspects,
    /** Features of which the receiver may know later answers. */
    questions,
  }),
  /** Blames that do not hold any more, or that an operator has lifted. */
  z.object({
    kind: z.literal('blameLifted'),
    service: serviceName,
    blames: z.array(requestFeatures.min(1)).max(64),
    isByOperator: z.boolean(),
  }),
  /** What the sender knows of answers to requests with suspect features, and without them. */
  z.object({
    kind: z.literal('soundFeatures'),
    service: serviceName,
    sound: z
      .array(z.object({ feature: featureId, ageMs: z.number().nonnegative() }))
      .max(maxFeatures.inMessage),
    others: z.array(featureId).max(maxFeatures.inMessage),
  }),
  /** The result of an attempt that the receiver has granted. */
  z.object({
    kind: z.literal('suspectAttemptEnded'),
    attempt: attemptId,
    wasAnswered: z.boolean(),
  }),
  z.object({ kind: z.literal('ask'), askId: nonNegativeInteger, question: fleetRequestSchema }),
  z.object({ kind: z.literal('reply'), askId: nonNegativeInteger, reply: fleetReplySchema }),
]);
