/**
 * Shared foundations of all packages: ids, clocks, errors, settings, logging and metrics.
 */
export type * from './types.js';
export * from './constants/index.js';
export * from './parseId/index.js';
export * from './Clock/index.js';
export * from './PauseMeter/index.js';
export * from './SystemClock/index.js';
export * from './ManualClock/index.js';
export * from './blockEventLoop/index.js';
export * from './ClientSocket/index.js';
export * from './ConnectTimeoutError/index.js';
export * from './InactivityTimer/index.js';
export * from './DisposableStore/index.js';
export * from './errorKinds/index.js';
export * from './RouterError/index.js';
export * from './toRouterError/index.js';
export * from './readSettings/index.js';
export * from './createLog/index.js';
export * from './createLogStream/index.js';
export * from './getOrCreate/index.js';
export * from './parseBackoffMs/index.js';
export * from './Metrics/index.js';
export * from './formatMetrics/index.js';
export * from './createRandom/index.js';
export * from './hashText/index.js';
export * from './digestText/index.js';
export * from './StateStream/index.js';
export * from './withTimeout/index.js';
export * from './ClientConnections/index.js';
export * from './createBoundedServer/index.js';
export * from './ClosedClients/index.js';
export * from './readMachineLimits/index.js';
export * from './collectGarbage/index.js';
export * from './ReadSlicer/index.js';
