/**
 * Token budgets: pages in the store, grants, reservations, bills and request records.
 *
 * `BudgetLedger` bills each request durably. `PrepaidAccounts` writes nothing per request: it stores only
 * how many tokens each process run may spend.
 */
export type * from './types.js';
export * from './pageSchema/index.js';
export * from './pageKeyOf/index.js';
export * from './applyOperation/index.js';
export * from './PageWriter/index.js';
export * from './GrantPolicy/index.js';
export * from './FixedGrantPolicy/index.js';
export * from './EqualSplitGrantPolicy/index.js';
export * from './DemandGrantPolicy/index.js';
export * from './GrantPeers/index.js';
export * from './NoGrantPeers/index.js';
export * from './BudgetLedger/index.js';
export * from './topUpBudget/index.js';
export * from './readBudget/index.js';
export * from './RequestRecords/index.js';
export * from './prepaidPage/index.js';
export type * from './RestoreKnowledge/index.js';
export * from './PrepaidPeers/index.js';
export * from './NoPrepaidPeers/index.js';
export { prepaidPageKey, prepaidPagePrefix } from './_lib/StoredGrant/index.js';
export * from './PrepaidAccount/index.js';
export * from './PrepaidAccounts/index.js';
