/**
 * Clients for upstreams (model engines and plain services), and the reconciliation of engine state.
 */
export type * from './types.js';
export * from './EngineClient/index.js';
export * from './ServiceClient/index.js';
export * from './HttpEngineClient/index.js';
export * from './HttpServiceClient/index.js';
export * from './checkFrames/index.js';
export * from './readBackoffMs/index.js';
export * from './AdaptiveTimeout/index.js';
export * from './hedgeReads/index.js';
export * from './StoreLease/index.js';
export * from './WeightLoadRateLimiter/index.js';
export * from './planOrders/index.js';
export * from './OrderReconciler/index.js';
