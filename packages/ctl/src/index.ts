/**
 * The commands of `acaciacrankctl`, the command-line tool for operators.
 */
export type * from './types.js';
export * from './OperatorPortClient/index.js';
export * from './HttpOperatorPortClient/index.js';
export * from './queryInstances/index.js';
export * from './createContext/index.js';
export * from './exitCodes/index.js';
export * from './runCheck/index.js';
export * from './runDiff/index.js';
export * from './runTry/index.js';
export * from './runPromote/index.js';
export * from './runRollback/index.js';
export * from './runStatus/index.js';
export * from './runBudget/index.js';
export * from './runTopUp/index.js';
export * from './runDrain/index.js';
export * from './runExplain/index.js';
