/**
 * Checks what peers send: a peer may run another version, or be broken.
 *
 * To add a message, add its schema here and to its union; the type follows by itself.
 */
import type {
  AccountId,
  BudgetId,
  FailureDomainId,
  GrantId,
  InstanceId,
  ServiceName,
  UpstreamId,
} from '@acaciacrank/base';
import { z } from 'zod';

const instanceId = z.string().min(1).max(64) as unknown as z.ZodType<InstanceId>;
/** Upstreams in one reply at most; more would not fit a message. */
const maxUpstreams = 4_096;
const counter = z.number().int().nonnegative();

/** A budget as the ledger names it. */
const budgetSchema = z.object({
  accountId: z.string().max(256) as unknown as z.ZodType<AccountId>,
  budgetId: z.string().max(256) as unknown as z.ZodType<BudgetId>,
  openingTokens: counter,
});

/** Tokens of a grant that its holder passes on. */
const transferSchema = z.object({
  grantId: z.string().max(256) as unknown as z.ZodType<GrantId>,
  tokens: counter,
  remainingMs: z.number().nonnegative(),
});

/** A lifetime of an instance, as the ledger names it. */
const lifetime = z.string().max(128);

/** What a peer asks the home of an account's prepaid tokens for. */
const loanSchema = z.object({
  accountId: z.string().max(256) as unknown as z.ZodType<AccountId>,
  borrower: lifetime,
  limitVersion: counter,
  givenTo: lifetime,
  givenTokens: counter,
  neededTokens: counter,
  wantedTokens: counter,
});

/** An upstream as the store lists it. */
const upstreamSchema = z.object({
  id: z.string().max(256) as unknown as z.ZodType<UpstreamId>,
  service: z.string().max(256) as unknown as z.ZodType<ServiceName>,
  ip: z.string().max(64),
  port: counter,
  failureDomain: z.string().max(64) as unknown as z.ZodType<FailureDomainId>,
  slots: z.number().positive(),
  state: z.enum(['live', 'leaving']),
  startedAtMs: z.number().int().optional(),
});

/** A rate limit from an upstream's answer; ages are relative to when the message is sent. */
const upstreamLimitSchema = z.object({
  upstreamId: z.string().max(256) as unknown as z.ZodType<UpstreamId>,
  /** Identifies the run of the upstream. */
  startedAtMs: z.number().int().optional(),
  /** What the upstream accepts from all instances combined; null if it no longer sets a limit. */
  requestsPerSecond: z.number().nonnegative().nullable(),
  /** How long ago the request was sent, and its answer received, in milliseconds. */
  sentAgeMs: z.number().nonnegative(),
  receivedAgeMs: z.number().nonnegative(),
});

/** Checks what one instance says of a member, itself included. */
export const memberRecordSchema = z.object({
  id: instanceId,
  /** Names one life of the instance; another life has another one. */
  life: z.string().max(32),
  /** Orders what is said of a member; only the member itself raises it. 0: never heard of. */
  incarnation: counter,
  /** What the member says of itself. */
  state: z.enum(['starting', 'live', 'leaving', 'left']),
  /** Whether somebody who could not reach the member, also not by way of others, doubts it. */
  isSuspect: z.boolean(),
  /** `http://IP:PORT` for callers. */
  url: z.string().max(128),
  /** `ws://IP:PORT` for peers. */
  fleetUrl: z.string().max(128),
  failureDomain: z.string().max(64),
});

const heartbeatFields = {
  /** Pairs a heartbeat with its acknowledgement. */
  sequence: counter,
  /** The sender's highest configuration version in force; 0 for none. */
  configurationVersion: counter,
  /** A hash of the sender's view; peers whose hashes differ send each other slices of theirs. */
  viewHash: counter,
  /** What the sender says of itself first, then of others. */
  records: z.array(memberRecordSchema).max(32),
};

/** Checks one question that a peer answers; see `FleetQuestions`. */
export const fleetQuestionSchema = z.discriminatedUnion('kind', [
  /** "Can you reach this member?" */
  z.object({ kind: z.literal('probe'), target: instanceId }),
  /** "Which configuration is newer than this one?" */
  z.object({ kind: z.literal('manifest'), aboveVersion: counter }),
  /** "What is in this object of a configuration?" */
  z.object({ kind: z.literal('configurationObject'), digest: z.string().max(128) }),
  /** "Give your idle tokens of this budget back to its page." */
  z.object({ kind: z.literal('giveBack'), budget: budgetSchema }),
  /** "Pass me tokens of this budget"; `life` names the life of the instance that asks. */
  z.object({
    kind: z.literal('handOver'),
    life: z.string().max(64),
    budget: budgetSchema,
    tokens: counter,
  }),
  /** "Lend me prepaid tokens, and take in what I gave you"; see `LoanQuestion` of the ledger. */
  z.object({ kind: z.literal('prepaidTokens'), loan: loanSchema }),
  /** "Which upstreams does the store tell you of?" */
  z.object({ kind: z.literal('upstreams') }),
]);

/** Checks one reply to a question. */
export const fleetReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('probe'), isReachable: z.boolean() }),
  /** `manifest` is checked by the package that owns it; undefined when there is no newer one. */
  z.object({ kind: z.literal('manifest'), manifest: z.unknown().optional() }),
  /** Checked against its digest by who asked; undefined when the peer does not have it. */
  z.object({ kind: z.literal('configurationObject'), text: z.string().optional() }),
  z.object({ kind: z.literal('giveBack') }),
  /** The tokens are now the asker's, if it still lives the life that asked. */
  z.object({
    kind: z.literal('handOver'),
    life: z.string().max(64),
    transfers: z.array(transferSchema).max(64),
  }),
  z.object({
    kind: z.literal('prepaidTokens'),
    lender: lifetime,
    /** All tokens that the lender ever passed on to the asker's lifetime. */
    lentTokens: counter,
    outcome: z.enum(['lent', 'exhausted', 'heldElsewhere', 'storeAway', 'behind']),
  }),
  /** `isCurrent` is false, and nothing is told, where the store is away from the peer too. */
  z.object({
    kind: z.literal('upstreams'),
    isCurrent: z.boolean(),
    records: z.array(upstreamSchema).max(maxUpstreams),
  }),
  /** The peer could not answer. */
  z.object({ kind: z.literal('failed'), reason: z.string().max(512) }),
]);

/** Checks one message between instances. */
export const fleetMessageSchema = z.discriminatedUnion('kind', [
  /** Tells that the sender lives, and asks for an acknowledgement. */
  z.object({ kind: z.literal('heartbeat'), ...heartbeatFields }),
  z.object({ kind: z.literal('heartbeatAck'), ...heartbeatFields }),
  /** A change that does not wait for the next heartbeat; not acknowledged. */
  z.object({ kind: z.literal('news'), ...heartbeatFields }),
  /** Tells that a newer configuration is in force at the sender, who answers for it. */
  z.object({ kind: z.literal('configurationChanged'), version: counter }),
  /** Rate limits that the sender knows from upstreams' answers. */
  z.object({
    kind: z.literal('upstreamLimits'),
    limits: z.array(upstreamLimitSchema).max(512),
  }),
  z.object({ kind: z.literal('ask'), askId: counter, question: fleetQuestionSchema }),
  z.object({ kind: z.literal('reply'), askId: counter, reply: fleetReplySchema }),
]);
