import type { Clock, GrantId } from '@acaciacrank/base';
import type { TransferredTokens } from '../../GrantPeers/index.js';
import type {
  BudgetRef,
  CloseOperation,
  GrantPart,
  RenewOperation,
  ReturnOperation,
} from '../../types.js';

/** A grant to hold, from a page or a peer. */
export interface NewHeldGrant {
  readonly grantId: GrantId;
  readonly budget: BudgetRef;
  readonly tokens: number;
  /** On the monotonic clock: setting the wall clock back must not extend a grant. */
  readonly spendableUntilMs: number;
  /** Whether the tokens are a part of a grant of a peer. */
  readonly isTransferred: boolean;
}

interface HeldGrant extends NewHeldGrant {
  spendableUntilMs: number;
  availableTokens: number;
  reservedTokens: number;
  /** Whether a peer may hold a part of this grant. */
  hasTransfers: boolean;
}

/** Tokens of a grant that expires sooner are not transferred, since they could not be used in time. */
const minTransferRemainingMs = 5_000;

/** The grants held by one instance, and the tokens reserved from them. */
export class HeldGrants {
  readonly #clock: Clock;
  readonly #returnedBy: string;
  readonly #grants = new Map<string, HeldGrant[]>();
  #returnCount = 0;

  /**
   * @param clock - measures the expiry of grants
   * @param returnedBy - identifies this process run in returns
   */
  constructor(clock: Clock, returnedBy: string) {
    this.#clock = clock;
    this.#returnedBy = returnedBy;
  }

  /** The budgets with at least one grant. */
  budgets(): BudgetRef[] {
    return [...this.#grants.values()].flatMap(([first]) =>
      first === undefined ? [] : [first.budget],
    );
  }

  /** The number of grants of all budgets. */
  get size(): number {
    return [...this.#grants.values()].reduce((sum, grants) => sum + grants.length, 0);
  }

  /** Adds a grant, or a further part of a grant that is already held. */
  add(grant: NewHeldGrant): void {
    const held = this.#find(grant.budget, grant.grantId);
    if (held !== undefined) {
      held.availableTokens += grant.tokens;
      return;
    }
    const added = {
      ...grant,
      availableTokens: grant.tokens,
      reservedTokens: 0,
      hasTransfers: false,
    };
    const { budgetId } = grant.budget;
    // Grants that expire first are spent first.
    const byExpiry = [...this.#grantsOf(budgetId), added].sort(
      (a, b) => a.spendableUntilMs - b.spendableUntilMs,
    );
    this.#grants.set(budgetId, byExpiry);
  }

  /** Tokens that could be reserved now. */
  availableTokens(budget: BudgetRef): number {
    return this.#liveGrants(budget).reduce((sum, grant) => sum + grant.availableTokens, 0);
  }

  /** Reserves tokens from one or more grants; undefined if all together have too few. */
  reserve(budget: BudgetRef, tokens: number): GrantPart[] | undefined {
    if (this.availableTokens(budget) < tokens) return undefined;
    const parts: GrantPart[] = [];
    let missingTokens = tokens;
    for (const grant of this.#liveGrants(budget)) {
      const takenTokens = Math.min(missingTokens, grant.availableTokens);
      if (takenTokens === 0) continue;
      grant.availableTokens -= takenTokens;
      grant.reservedTokens += takenTokens;
      missingTokens -= takenTokens;
      parts.push({ grantId: grant.grantId, tokens: takenTokens });
    }
    return parts;
  }

  /** Makes reserved tokens available again. */
  release(budget: BudgetRef, parts: readonly GrantPart[]): void {
    for (const { grant, tokens } of this.#findAll(budget, parts)) {
      grant.reservedTokens -= tokens;
      grant.availableTokens += tokens;
    }
  }

  /** Removes reserved tokens that were billed. */
  spend(budget: BudgetRef, parts: readonly GrantPart[]): void {
    for (const { grant, tokens } of this.#findAll(budget, parts)) grant.reservedTokens -= tokens;
  }

  /** Whether the grants of all parts are held and have not expired by the monotonic clock. */
  areSpendable(budget: BudgetRef, parts: readonly GrantPart[]): boolean {
    const matched = this.#findAll(budget, parts);
    return matched.length === parts.length && matched.every(({ grant }) => this.#isLive(grant));
  }

  /** Removes all idle tokens of a budget; returns the operations that return them to the page. */
  takeIdle(budget: BudgetRef): (CloseOperation | ReturnOperation)[] {
    return this.#grantsOf(budget.budgetId).flatMap((grant) => this.#takeIdleOf(grant));
  }

  /** Like {@link takeIdle}, but only for grants that have expired or have no available tokens. */
  takeSpent(budget: BudgetRef): (CloseOperation | ReturnOperation)[] {
    return this.#grantsOf(budget.budgetId)
      .filter((grant) => !this.#isLive(grant) || grant.availableTokens === 0)
      .flatMap((grant) => this.#takeIdleOf(grant));
  }

  /** Removes idle tokens that are transferred to a peer. */
  handOver(budget: BudgetRef, tokens: number): TransferredTokens[] {
    let missingTokens = tokens;
    const nowMs = this.#clock.monotonicMs();
    const transfers: TransferredTokens[] = [];
    for (const grant of this.#liveGrants(budget)) {
      const remainingMs = grant.spendableUntilMs - nowMs;
      const transferredTokens = Math.min(missingTokens, grant.availableTokens);
      if (transferredTokens === 0 || remainingMs < minTransferRemainingMs) continue;
      grant.availableTokens -= transferredTokens;
      grant.hasTransfers = true;
      missingTokens -= transferredTokens;
      transfers.push({ grantId: grant.grantId, tokens: transferredTokens, remainingMs });
    }
    return transfers;
  }

  /**
   * Operations that renew own grants that expire soon. A grant of which a peer may hold a part is not
   * renewed: if the peer has crashed, its part stays unavailable for as long as the grant is renewed.
   */
  renewals(budget: BudgetRef, withinMs: number, expiresAtMs: number): RenewOperation[] {
    const nowMs = this.#clock.monotonicMs();
    return this.#liveGrants(budget)
      .filter((grant) => !grant.isTransferred && !grant.hasTransfers)
      .filter((grant) => grant.spendableUntilMs - nowMs < withinMs)
      .map(({ grantId }) => ({ kind: 'renew', budget, grantId, expiresAtMs }));
  }

  /** Changes the expiry of a grant; 0 for a grant that is no longer in the page. */
  setExpiry(budget: BudgetRef, grantId: GrantId, spendableUntilMs: number): void {
    const grant = this.#find(budget, grantId);
    if (grant !== undefined) grant.spendableUntilMs = spendableUntilMs;
  }

  #takeIdleOf(grant: HeldGrant): (CloseOperation | ReturnOperation)[] {
    const { budget, grantId, reservedTokens, availableTokens: tokens } = grant;
    const isEntirelyOwn = !grant.isTransferred && !grant.hasTransfers;
    if (reservedTokens === 0 && (isEntirelyOwn || !this.#isLive(grant) || grant.isTransferred)) {
      this.#remove(grant);
    }
    if (reservedTokens === 0 && isEntirelyOwn) return [{ kind: 'close', budget, grantId }];
    if (tokens === 0) return [];
    grant.availableTokens = 0;
    this.#returnCount += 1;
    const returnNumber = this.#returnCount;
    return [
      { kind: 'return', budget, grantId, returnedBy: this.#returnedBy, returnNumber, tokens },
    ];
  }

  #remove(grant: HeldGrant): void {
    const { budgetId } = grant.budget;
    const rest = this.#grantsOf(budgetId).filter((other) => other !== grant);
    if (rest.length > 0) this.#grants.set(budgetId, rest);
    else this.#grants.delete(budgetId);
  }

  #findAll(budget: BudgetRef, parts: readonly GrantPart[]): { grant: HeldGrant; tokens: number }[] {
    return parts.flatMap(({ grantId, tokens }) => {
      const grant = this.#find(budget, grantId);
      return grant === undefined ? [] : [{ grant, tokens }];
    });
  }

  #find(budget: BudgetRef, grantId: GrantId): HeldGrant | undefined {
    return this.#grantsOf(budget.budgetId).find((grant) => grant.grantId === grantId);
  }

  #liveGrants(budget: BudgetRef): HeldGrant[] {
    return this.#grantsOf(budget.budgetId).filter((grant) => this.#isLive(grant));
  }

  #grantsOf(budgetId: string): readonly HeldGrant[] {
    return this.#grants.get(budgetId) ?? [];
  }

  #isLive(grant: HeldGrant): boolean {
    return this.#clock.monotonicMs() < grant.spendableUntilMs;
  }
}
