/**
 * Communication between the instances of the fleet: links, remote procedure calls, gossip-based
 * membership and distribution of configuration versions.
 */
export type * from './types.js';
export * from './messageSchemas/index.js';
export * from './encodeMessage/index.js';
export * from './FleetLinks/index.js';
export * from './NoFleetLinks/index.js';
export * from './Registrations/index.js';
export * from './RestoreWitness/index.js';
export * from './FleetRpc/index.js';
export * from './MemberTable/index.js';
export * from './Membership/index.js';
export * from './ConfigurationGossip/index.js';
export * from './WsFleetLinks/index.js';
