/**
 * Types shared by the modules of this package.
 */
import type { EnvironmentDocument } from './environmentSchema/index.js';

/** One validation error in an environment document. */
export interface DocumentFault {
  readonly path: readonly PropertyKey[];
  /** Whether the error is in the name of the last field of the path, not in its value. */
  readonly isKey: boolean;
  /** What is wrong and how to correct it. */
  readonly message: string;
}

/** The settings of an environment without its accounts; small enough to be stored as one object. */
export type EnvironmentSettings = Pick<
  EnvironmentDocument,
  'environment' | 'weighs' | 'classes' | 'services'
>;

/** Digests of the three root objects of an accepted document. */
export interface ConfigurationRoot {
  readonly settings: string;
  /** Root of the tree of accounts and budgets. */
  readonly accounts: string;
  /** Root of the tree that maps key digests to accounts. */
  readonly keys: string;
}
