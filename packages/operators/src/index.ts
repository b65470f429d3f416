/**
 * Environment documents: validation, storage, acceptance, rollback and distribution to instances.
 */
export type * from './types.js';
export * from './environmentSchema/index.js';
export * from './parseEnvironment/index.js';
export * from './isRepeatableCall/index.js';
export * from './configurationTree/index.js';
export * from './compileEnvironment/index.js';
export * from './ConfigurationObjects/index.js';
export * from './loadConfiguration/index.js';
export * from './EnvironmentIndex/index.js';
export * from './manifest/index.js';
export * from './readManifest/index.js';
export * from './diffConfigurations/index.js';
export * from './acceptRoot/index.js';
export * from './acceptDocument/index.js';
export * from './collectGarbage/index.js';
export * from './rollbackVersion/index.js';
export * from './trialRuns/index.js';
export * from './environmentStore/index.js';
export * from './promoteFromTrial/index.js';
export * from './ConfigurationWatcher/index.js';
