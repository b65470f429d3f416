import type { InstanceId } from '@acaciacrank/base';
import type {
  BillOperation,
  CloseOperation,
  GrantOperation,
  GrantPart,
  LedgerPage,
  OperationResult,
  PageBill,
  PageBudget,
  PageGrant,
  PageOperation,
  RenewOperation,
  ReturnOperation,
  TopUpOperation,
} from '../types.js';

/** Options of {@link applyOperation}. */
export interface ApplyOperationOptions {
  /** The current time, in milliseconds since 1970-01-01 UTC. */
  nowMs: number;
  /** How long after its expiry a grant is returned to its budget, in milliseconds. */
  graceMs: number;
  /** How long a request key prevents a second bill, in milliseconds. */
  keyProtectionMs: number;
  /**
   * Copies of `bills` that were made during the current batch and may be changed in place. Without
   * them, each bill of a batch would copy all request keys of its budget.
   */
  mutableBills?: WeakSet<PageBudget['bills']>;
}

/** The page after an operation, and the result of the operation. */
export interface AppliedOperation {
  readonly page: LedgerPage;
  readonly result: OperationResult;
}

/** A refill smaller than this share of what was requested and the holder's share allows is denied. */
const minGrantShare = 0.1;

interface AppliedToBudget {
  readonly budget: PageBudget;
  readonly result: OperationResult;
}

/**
 * Applies one operation to a page.
 *
 * Maintains `settledTokens + Σ grants ≤ prepaidTokens` for every budget. It is idempotent: an
 * operation that is retried after its response was lost finds its own id and changes nothing.
 *
 * @param page - the page as read
 * @param operation - the change to apply
 * @param options - the current time and the retention periods
 * @returns the result and the new page, which is the same object if nothing changed
 *
 * @example
 * const { page, result } = applyOperation(emptyPage, topUp, options);
 */
export function applyOperation(
  page: LedgerPage,
  operation: PageOperation,
  options: ApplyOperationOptions,
): AppliedOperation {
  const { budgetId, openingTokens } = operation.budget;
  const found = page.budgets[budgetId] ?? createBudget(openingTokens);
  // A bill needs no free tokens, and searching for expired keys would cost more than the bill itself.
  const current = operation.kind === 'bill' ? found : dropExpired(found, options);
  const { budget, result } = applyToBudget(current, operation, options);
  if (budget === page.budgets[budgetId]) return { page, result };
  return { page: { ...page, budgets: { ...page.budgets, [budgetId]: budget } }, result };
}

/**
 * Tokens of a budget that are neither settled nor set aside.
 *
 * @example
 * availableTokens({ prepaidTokens: 10, settledTokens: 4, topUps: {}, grants: {}, bills: {} });
 * //=> 6
 */
export function availableTokens(budget: PageBudget): number {
  const granted = Object.values(budget.grants).reduce((sum, grant) => sum + grant.tokens, 0);
  return budget.prepaidTokens - budget.settledTokens - granted;
}

function createBudget(openingTokens: number): PageBudget {
  return { prepaidTokens: openingTokens, settledTokens: 0, topUps: {}, grants: {}, bills: {} };
}

/**
 * Removes expired grants, which returns their tokens to the budget, and expired request keys. A
 * holder stops spending at `expiresAtMs` by its own monotonic clock. The grace period covers its
 * longest request and the skew between clocks, so the same tokens are never spent by two holders.
 */
function dropExpired(budget: PageBudget, options: ApplyOperationOptions): PageBudget {
  const { nowMs, graceMs, keyProtectionMs } = options;
  const isGrantExpired = (grant: PageGrant) => grant.expiresAtMs + graceMs <= nowMs;
  const hasExpiredGrants = Object.values(budget.grants).some(isGrantExpired);
  const isKeyExpired = (atMs: number) => atMs + keyProtectionMs <= nowMs;
  const hasExpiredKeys = Object.values(budget.bills).some((bill) => isKeyExpired(bill.atMs));
  if (!hasExpiredGrants && !hasExpiredKeys) return budget;
  return {
    ...budget,
    grants: withoutEntries(budget.grants, isGrantExpired),
    bills: withoutEntries(budget.bills, (bill) => isKeyExpired(bill.atMs)),
  };
}

function applyToBudget(
  budget: PageBudget,
  operation: PageOperation,
  options: ApplyOperationOptions,
): AppliedToBudget {
  switch (operation.kind) {
    case 'grant':
      return applyGrant(budget, operation);
    case 'close':
      return applyClose(budget, operation);
    case 'return':
      return applyReturn(budget, operation);
    case 'renew':
      return applyRenew(budget, operation);
    case 'prune':
      return { budget, result: { kind: 'pruned' } };
    case 'bill':
      return applyBill(budget, operation, options);
    case 'topUp':
      return applyTopUp(budget, operation);
  }
}

function applyGrant(budget: PageBudget, operation: GrantOperation): AppliedToBudget {
  const { grantId, holder, minTokens, expiresAtMs } = operation;
  const existing = budget.grants[grantId];
  const available = availableTokens(budget);
  if (existing !== undefined) {
    const { tokens } = existing;
    return { budget, result: { kind: 'granted', tokens, availableTokens: available } };
  }
  const tokens = Math.max(minTokens, tokensWithinShares(budget, available, operation));
  if (available < tokens || tokens === 0) {
    const holders = [...new Set(Object.values(budget.grants).map((grant) => grant.holder))];
    return { budget, result: { kind: 'denied', availableTokens: available, holders } };
  }
  const grants = { ...budget.grants, [grantId]: { holder, tokens, expiresAtMs } };
  return {
    budget: { ...budget, grants },
    result: { kind: 'granted', tokens, availableTokens: available - tokens },
  };
}

/** The tokens that a grant gets within the shares; 0 if they are too few to be worth a grant. */
function tokensWithinShares(
  budget: PageBudget,
  available: number,
  operation: GrantOperation,
): number {
  const { holder, wantedTokens, maxShare, maxTotalShare, unreachableWeight } = operation;
  const remainderTokens = budget.prepaidTokens - budget.settledTokens;
  const ownTokens = Math.floor(remainderTokens * maxShare) - grantedTokens(budget, holder);
  const countedTokens =
    remainderTokens - available + (unreachableWeight - 1) * unreachableTokens(budget, operation);
  const totalTokens = Math.floor(remainderTokens * maxTotalShare - countedTokens);
  const tokens = Math.min(available, wantedTokens, ownTokens, totalTokens);
  const targetTokens = Math.min(wantedTokens, remainderTokens * maxShare);
  return tokens < targetTokens * minGrantShare ? 0 : tokens;
}

/** Tokens granted to unreachable holders, which may be lost until those grants expire. */
function unreachableTokens(budget: PageBudget, { reachable }: GrantOperation): number {
  if (reachable === undefined) return 0;
  return Object.values(budget.grants)
    .filter((grant) => !reachable.has(grant.holder))
    .reduce((sum, grant) => sum + grant.tokens, 0);
}

function grantedTokens(budget: PageBudget, holder: InstanceId): number {
  return Object.values(budget.grants)
    .filter((grant) => grant.holder === holder)
    .reduce((sum, grant) => sum + grant.tokens, 0);
}

/**
 * Applies a return once. A return that is retried after its response was lost would otherwise return
 * tokens that are in use; it is recognised by a number that the grant has recorded already. A return
 * that arrives after a later one is ignored, so its tokens stay unavailable until the grant expires.
 */
function applyReturn(budget: PageBudget, operation: ReturnOperation): AppliedToBudget {
  const { grantId, returnedBy, returnNumber } = operation;
  const result: OperationResult = { kind: 'closed' };
  const grant = budget.grants[grantId];
  if (grant === undefined || (grant.returns?.[returnedBy] ?? 0) >= returnNumber) {
    return { budget, result };
  }
  const tokens = grant.tokens - Math.min(grant.tokens, operation.tokens);
  const returns = { ...grant.returns, [returnedBy]: returnNumber };
  const grants = { ...budget.grants, [grantId]: { ...grant, tokens, returns } };
  return { budget: { ...budget, grants }, result };
}

function applyRenew(budget: PageBudget, operation: RenewOperation): AppliedToBudget {
  const { grantId, expiresAtMs } = operation;
  const grant = budget.grants[grantId];
  if (grant === undefined) return { budget, result: { kind: 'gone' } };
  const result: OperationResult = { kind: 'renewed' };
  if (grant.expiresAtMs >= expiresAtMs) return { budget, result };
  const grants = { ...budget.grants, [grantId]: { ...grant, expiresAtMs } };
  return { budget: { ...budget, grants }, result };
}

function applyClose(budget: PageBudget, operation: CloseOperation): AppliedToBudget {
  const result: OperationResult = { kind: 'closed' };
  if (budget.grants[operation.grantId] === undefined) return { budget, result };
  const grants = withoutEntries(budget.grants, (_, id) => id === operation.grantId);
  return { budget: { ...budget, grants }, result };
}

/**
 * Moves the tokens of a bill from its grants to `settledTokens`. If a grant was reclaimed before the
 * bill arrived, or has too few tokens, the available tokens of the budget are charged instead. What
 * they do not cover is unbillable, so the budget is never overspent.
 */
function applyBill(
  budget: PageBudget,
  operation: BillOperation,
  options: ApplyOperationOptions,
): AppliedToBudget {
  const existing = budget.bills[operation.requestKey];
  if (existing !== undefined)
    return { budget, result: resultOfRepeatedBill(budget, operation, existing) };
  const { grants, chargedTokens: fromGrants } = chargeParts(budget.grants, operation);
  const fromBudget = Math.min(operation.tokens - fromGrants, availableTokens(budget));
  const chargedTokens = fromGrants + fromBudget;
  const bill = {
    requestId: operation.requestId,
    tokens: chargedTokens,
    bodyDigest: operation.bodyDigest,
    atMs: options.nowMs,
  };
  const charged = {
    ...budget,
    settledTokens: budget.settledTokens + chargedTokens,
    grants,
    bills: addBill(budget.bills, operation.requestKey, bill, options.mutableBills),
  };
  return {
    budget: charged,
    result: {
      kind: 'billed',
      chargedTokens,
      unbillableTokens: operation.tokens - chargedTokens,
      availableTokens: availableTokens(charged),
    },
  };
}

function addBill(
  bills: PageBudget['bills'],
  requestKey: string,
  bill: PageBill,
  mutableBills: ApplyOperationOptions['mutableBills'],
): PageBudget['bills'] {
  const copy: Record<string, PageBill> = mutableBills?.has(bills) === true ? bills : { ...bills };
  copy[requestKey] = bill;
  mutableBills?.add(copy);
  return copy;
}

interface ChargedParts {
  readonly grants: PageBudget['grants'];
  readonly chargedTokens: number;
}

/** Charges a bill to the grants that were reserved for it, in order. */
function chargeParts(grants: PageBudget['grants'], operation: BillOperation): ChargedParts {
  const chargePart = (charged: ChargedParts, part: GrantPart): ChargedParts => {
    const grant = charged.grants[part.grantId];
    if (grant === undefined) return charged;
    const leftTokens = operation.tokens - charged.chargedTokens;
    const taken = Math.min(leftTokens, part.tokens, grant.tokens);
    return {
      grants: { ...charged.grants, [part.grantId]: { ...grant, tokens: grant.tokens - taken } },
      chargedTokens: charged.chargedTokens + taken,
    };
  };
  return operation.parts.reduce(chargePart, { grants, chargedTokens: 0 });
}

/**
 * The result for a request key that was billed before. The same request id means that the write was
 * retried after its response was lost; another request id means that the caller retried the request.
 */
function resultOfRepeatedBill(
  budget: PageBudget,
  operation: BillOperation,
  existing: PageBudget['bills'][string],
): OperationResult {
  if (existing.requestId !== operation.requestId) return { kind: 'alreadyBilled', bill: existing };
  const unbillableTokens = operation.tokens - existing.tokens;
  const availableAfter = availableTokens(budget);
  return {
    kind: 'billed',
    chargedTokens: existing.tokens,
    unbillableTokens,
    availableTokens: availableAfter,
  };
}

function applyTopUp(budget: PageBudget, operation: TopUpOperation): AppliedToBudget {
  const known = budget.topUps[operation.topUpId];
  const prepaidTokens = budget.prepaidTokens + (known === undefined ? operation.tokens : 0);
  const result: OperationResult = { kind: 'toppedUp', prepaidTokens };
  if (known !== undefined) return { budget, result };
  const topUps = { ...budget.topUps, [operation.topUpId]: operation.tokens };
  return { budget: { ...budget, prepaidTokens, topUps }, result };
}

function withoutEntries<Value>(
  record: Readonly<Record<string, Value>>,
  shouldDrop: (value: Value, key: string) => boolean,
): Record<string, Value> {
  return Object.fromEntries(
    Object.entries(record).filter(([key, value]) => !shouldDrop(value, key)),
  );
}
