/**
 * Interfaces to the platform's object store and instance list, with in-memory implementations.
 */
export type * from './types.js';
export * from './storeVersion/index.js';
export * from './StoreEpochs/index.js';
export * from './restoreBounds/index.js';
export * from './ObjectStore/index.js';
export * from './isDeeperThan/index.js';
export * from './InstanceList/index.js';
export * from './MemoryPlatform/index.js';
export * from './StoredInstanceList/index.js';
export * from './PrefixedObjectStore/index.js';
export * from './updateObject/index.js';
export * from './ObjectFollower/index.js';
