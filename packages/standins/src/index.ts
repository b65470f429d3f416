/**
 * Fakes of the platform, engines and services, and helpers shared by experiments and fault tests.
 */
export * from './LocalGrantNetwork/index.js';
export * from './MemoryNetwork/index.js';
export * from './StandinEngine/index.js';
export * from './StandinControl/index.js';
export * from './StandinService/index.js';
export * from './LocalUpstreamClients/index.js';
export * from './createEngineServer/index.js';
export * from './createServiceServer/index.js';
export * from './createLocalFleet/index.js';
export * from './printTable/index.js';
