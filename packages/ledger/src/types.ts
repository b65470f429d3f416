/**
 * What the ledger keeps and what is asked of it.
 */
import type {
  AccountId,
  BudgetId,
  GrantId,
  InstanceId,
  RequestId,
  RequestKey,
} from '@acaciacrank/base';

/** A budget, as the request path knows it. */
export interface BudgetRef {
  readonly accountId: AccountId;
  readonly budgetId: BudgetId;
  /** Tokens that the budget opens with when the ledger first meets it. */
  readonly openingTokens: number;
}

/** Tokens set aside in a page for one instance. */
export interface PageGrant {
  readonly holder: InstanceId;
  /** What is left of the grant, in tokens. */
  readonly tokens: number;
  /** When the holder must have stopped spending, in milliseconds since 1970. */
  readonly expiresAtMs: number;
  /** For each life of an instance that gave part of it back: the number of its last return. */
  readonly returns?: Readonly<Record<string, number>>;
}

/** The one billing record of a request key. */
export interface PageBill {
  readonly requestId: RequestId;
  readonly tokens: number;
  readonly bodyDigest: string;
  readonly atMs: number;
}

/** One budget in a page. */
export interface PageBudget {
  readonly prepaidTokens: number;
  readonly settledTokens: number;
  readonly topUps: Readonly<Record<string, number>>;
  readonly grants: Readonly<Record<string, PageGrant>>;
  readonly bills: Readonly<Record<string, PageBill>>;
}

/** One ledger page. */
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
  /** What a request waits for, whatever the shares say; 0 for a refill ahead of need. */
  readonly minTokens: number;
  /** The largest share, of all that is not settled, that the holder may hold; in (0, 1]. */
  readonly maxShare: number;
  /** The largest share, of all that is not settled, that grants may hold together; in (0, 1]. */
  readonly maxTotalShare: number;
  /** How many times the grants of holders that cannot be reached count towards that share. */
  readonly awayWeight: number;
  /** Who can be reached now; undefined where that is not known. */
  readonly reachable: ReadonlySet<InstanceId> | undefined;
  readonly expiresAtMs: number;
}

/** Gives back what is left of a grant; idempotent. */
export interface CloseOperation {
  readonly kind: 'close';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
}

/**
 * Gives back a part of a grant; idempotent by `returnNumber`, which rises with each return of one
 * life of an instance.
 */
export interface ReturnOperation {
  readonly kind: 'return';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
  /** Names the life of the instance that gives back. */
  readonly returnedBy: string;
  readonly returnNumber: number;
  readonly tokens: number;
}

/** Prolongs a grant that still stands; idempotent. */
export interface RenewOperation {
  readonly kind: 'renew';
  readonly budget: BudgetRef;
  readonly grantId: GrantId;
  readonly expiresAtMs: number;
}

/** Drops what a page need not keep any longer: grants past their grace and old request keys. */
export interface PruneOperation {
  readonly kind: 'prune';
  readonly budget: BudgetRef;
}

/** What a reservation holds of one grant. */
export interface GrantPart {
  readonly grantId: GrantId;
  readonly tokens: number;
}

/** Bills a request; idempotent by request key. */
export interface BillOperation {
  readonly kind: 'bill';
  readonly budget: BudgetRef;
  /** What was held for the request; charged in this order. */
  readonly parts: readonly GrantPart[];
  readonly requestKey: RequestKey;
  readonly requestId: RequestId;
  readonly bodyDigest: string;
  readonly tokens: number;
}

/** Adds prepaid tokens; idempotent by top-up id. */
export interface TopUpOperation {
  readonly kind: 'topUp';
  readonly budget: BudgetRef;
  readonly topUpId: string;
  readonly tokens: number;
}

/** One change of a page. */
export type PageOperation =
  | GrantOperation
  | CloseOperation
  | ReturnOperation
  | RenewOperation
  | PruneOperation
  | BillOperation
  | TopUpOperation;

/** What one change did. `availableTokens` is what the budget has left after it. */
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

/** Nothing was set aside. */
export interface DeniedResult {
  readonly kind: 'denied';
  readonly availableTokens: number;
  /** Who holds grants of the budget. */
  readonly holders: readonly InstanceId[];
}

/** A request was billed. */
export interface BilledResult {
  readonly kind: 'billed';
  readonly chargedTokens: number;
  readonly unbillableTokens: number;
  readonly availableTokens: number;
}

/** One run of an instance's process, from its start to its end. */
export interface Lifetime {
  readonly instanceId: InstanceId;
  /** Drawn anew at each start, so that no two runs are ever taken for each other. */
  readonly runId: string;
}
