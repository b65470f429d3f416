/**
 * Stored data of the ledger, and the operations that change it.
 */
import type {
  AccountId,
  BudgetId,
  GrantId,
  InstanceId,
  RequestId,
  RequestKey,
} from '@acaciacrank/base';

/** Identifies a budget on the request path. */
export interface BudgetRef {
  readonly accountId: AccountId;
  readonly budgetId: BudgetId;
  /** Prepaid tokens of the budget when it is first used. */
  readonly openingTokens: number;
}

/** Tokens of a budget that are set aside for one instance. */
export interface PageGrant {
  readonly holder: InstanceId;
  /** Remaining tokens of the grant. */
  readonly tokens: number;
  /** When the holder must stop spending, in milliseconds since 1970-01-01 UTC. */
  readonly expiresAtMs: number;
  /** The number of the last return, by the process run that returned a part of the grant. */
  readonly returns?: Readonly<Record<string, number>>;
}

/** The billing record of a request key; there is at most one. */
export interface PageBill {
  readonly requestId: RequestId;
  readonly tokens: number;
  /** Digest of the request body, which shows whether the key was reused for another request. */
  readonly bodyDigest: string;
  readonly atMs: number;
}

/** A budget as stored in a page. */
export interface PageBudget {
  /** All tokens that were paid for: the opening tokens and all top-ups. */
  readonly prepaidTokens: number;
  /** Tokens that were billed. */
  readonly settledTokens: number;
  /** Added tokens by top-up id. */
  readonly topUps: Readonly<Record<string, number>>;
  /** By grant id. */
  readonly grants: Readonly<Record<string, PageGrant>>;
  /** By request key. */
  readonly bills: Readonly<Record<string, PageBill>>;
}

/** A ledger page: the stored object that holds the state of some budgets. */
export interface LedgerPage {
  readonly format: 1;
  readonly budgets: Readonly<Record<string, PageBudget>>;
}

/** Sets tokens aside for an instance; idempotent by grant id. */
export interface GrantOperation {
  readonly kind: 'grant';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
  readonly holder: InstanceId;
  readonly wantedTokens: number;
  /** Tokens that a waiting request needs, granted regardless of the shares; 0 for a refill in advance. */
  readonly minTokens: number;
  /** The largest share of the unsettled tokens that the holder may hold, in (0, 1]. */
  readonly maxShare: number;
  /** The largest share of the unsettled tokens that all grants together may hold, in (0, 1]. */
  readonly maxTotalShare: number;
  /** The factor by which grants of unreachable holders count towards `maxTotalShare`. */
  readonly unreachableWeight: number;
  /** Instances that can be reached now; undefined if unknown. */
  readonly reachable: ReadonlySet<InstanceId> | undefined;
  readonly expiresAtMs: number;
}

/** Returns the rest of a grant to its budget and removes the grant; idempotent. */
export interface CloseOperation {
  readonly kind: 'close';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
}

/**
 * Returns a part of a grant to its budget; idempotent by `returnNumber`, which increases with each
 * return by the same process run.
 */
export interface ReturnOperation {
  readonly kind: 'return';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
  /** Identifies the process run that returns the tokens. */
  readonly returnedBy: string;
  readonly returnNumber: number;
  readonly tokens: number;
}

/** Extends the expiry of an existing grant; idempotent. */
export interface RenewOperation {
  readonly kind: 'renew';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
  readonly expiresAtMs: number;
}

/** Removes expired data: grants past their grace period and request keys that need no protection. */
export interface PruneOperation {
  readonly kind: 'prune';
  readonly budget: BudgetRef;
}

/** The tokens that a reservation takes from one grant. */
export interface GrantPart {
  readonly grantId: GrantId;
  readonly tokens: number;
}

/** Bills a request; idempotent by request key. */
export interface BillOperation {
  readonly kind: 'bill';
  readonly budget: BudgetRef;
  /** The reserved tokens, charged in this order. */
  readonly parts: readonly GrantPart[];
  readonly requestKey: RequestKey;
  readonly requestId: RequestId;
  readonly bodyDigest: string;
  readonly tokens: number;
}

/** Adds prepaid tokens; idempotent by `topUpId`. */
export interface TopUpOperation {
  readonly kind: 'topUp';
  readonly budget: BudgetRef;
  readonly topUpId: string;
  readonly tokens: number;
}

/** A change of a page. */
export type PageOperation =
  | GrantOperation
  | CloseOperation
  | ReturnOperation
  | RenewOperation
  | PruneOperation
  | BillOperation
  | TopUpOperation;

/** Result of an operation. `availableTokens` is what the budget has available after it. */
export type OperationResult =
  | { readonly kind: 'granted'; readonly tokens: number; readonly availableTokens: number }
  | DeniedResult
  | { readonly kind: 'closed' }
  | { readonly kind: 'renewed' }
  | { readonly kind: 'gone' }
  | { readonly kind: 'pruned' }
  | BilledResult
  | { readonly kind: 'alreadyBilled'; readonly bill: PageBill }
  | { readonly kind: 'toppedUp'; readonly prepaidTokens: number };

/** A grant was refused. */
export interface DeniedResult {
  readonly kind: 'denied';
  readonly availableTokens: number;
  /** Instances that hold grants of the budget. */
  readonly holders: readonly InstanceId[];
}

/** A request was billed. */
export interface BilledResult {
  readonly kind: 'billed';
  readonly chargedTokens: number;
  readonly unbillableTokens: number;
  readonly availableTokens: number;
}

/** One process run of an instance, from start to exit. */
export interface ProcessRun {
  readonly instanceId: InstanceId;
  /** Generated at each start, so that two runs of the same instance are never confused. */
  readonly runId: string;
}

/** Tokens reserved for one request before it is dispatched. */
export interface Reservation {
  readonly budget: BudgetRef;
  readonly parts: readonly GrantPart[];
  readonly tokens: number;
}

/** The result of billing a request. */
export interface Bill {
  readonly tokens: number;
  /** Tokens that were generated but not covered by the budget; counted, never charged. */
  readonly unbillableTokens: number;
  /** Whether an earlier attempt with the same key had already been billed. */
  readonly isRepeat: boolean;
  /** Digest of the billed body; differs from the requested one if the key was reused for another body. */
  readonly bodyDigest: string;
}

/** A request to bill. */
export interface SettleRequest {
  readonly requestKey: RequestKey;
  readonly requestId: RequestId;
  readonly bodyDigest: string;
  readonly tokens: number;
}

/** Counts since the ledger was created, for metrics. */
export interface LedgerCounts {
  commits: number;
  conflicts: number;
  grants: number;
  recalls: number;
  receivedTokens: number;
  transferredTokens: number;
  unbillableTokens: number;
}
