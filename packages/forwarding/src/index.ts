/**
 * Forwards requests, plain and streamed, to the upstreams of the matching route. The bodies of requests
 * are not parsed.
 */
export type * from './types.js';
export * from './ForwardCodec/index.js';
export * from './RouteTable/index.js';
export * from './UpstreamTable/index.js';
export type { UpstreamChange } from './_lib/UpstreamChange/index.js';
export * from './DomainDrains/index.js';
export * from './_lib/createDrainFollower/index.js';
export * from './PeerUpstreamSync/index.js';
export * from './RelayedObjectStore/index.js';
export * from './UpstreamLimitGossip/index.js';
export type { LimitSharing } from './_lib/UpstreamLimit/index.js';
export * from './_lib/pickUpstream/index.js';
export * from './_lib/PromptPartLocations/index.js';
export * from './ForwardHandler/index.js';
export * from './createForwardServer/index.js';
export {
  relayedByHeader,
  relayHeaders,
  relayKeyHeader,
  relayMaxSendsHeader,
  relayOriginHeader,
} from './_lib/relayProtocol/index.js';
export * from './StreamAffinity/index.js';
export * from './_lib/collectBody/index.js';
export { MeteredSocket } from './_lib/MeteredSocket/index.js';
export { NoAnswerError } from './_lib/NoAnswerError/index.js';
export { maxBodyBytes, ResponseMemory } from './_lib/ResponseMemory/index.js';
export * from './InstanceFleet/index.js';
export * from './ForwardingInstance/index.js';
