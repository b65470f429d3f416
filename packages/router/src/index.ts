/**
 * A complete instance: connects the other packages and opens the ports.
 */
export * from './instanceSettings/index.js';
export * from './AccountDemand/index.js';
export * from './Directory/index.js';
export * from './PlannedStop/index.js';
export * from './EngineOrders/index.js';
export * from './Instance/index.js';
export * from './HttpUpstreamClients/index.js';
export * from './describeInstance/index.js';
export * from './formatStatusPage/index.js';
export * from './PeerConfigurationObjects/index.js';
export * from './createOperatorServer/index.js';
export * from './runInstance/index.js';
export * from './FleetGrantPeers/index.js';
