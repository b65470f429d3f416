import { RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { acceptRoot, type Acceptance, type AcceptRootOptions } from '../acceptRoot/index.js';
import { StoreConfigurationObjects } from '../ConfigurationObjects/index.js';
import { loadConfiguration } from '../loadConfiguration/index.js';
import { readManifest } from '../readManifest/index.js';

/** Options of {@link rollbackVersion}. */
export interface RollbackVersionOptions extends Pick<AcceptRootOptions, 'random' | 'maxAttempts'> {
  /** The version to go back to; the one before by default. */
  toVersion?: number | undefined;
}

/**
 * Puts an earlier version's bytes in force again, as a new version.
 *
 * Its objects are loaded whole first, so that nothing comes into force that instances cannot read.
 *
 * @param store - the platform's store
 * @param clock - measures the back-off
 * @param environment - the environment
 * @param options - which version
 * @returns what came of it
 * @throws RouterError `notFound` when that version is not kept, or as {@link acceptRoot}
 *
 * @example
 * const { accepted } = await rollbackVersion(store, clock, 'kapiti', { toVersion: 6 });
 */
export async function rollbackVersion(
  store: ObjectStore,
  clock: Clock,
  environment: string,
  options: RollbackVersionOptions = {},
): Promise<Acceptance> {
  const inForce = await readManifest(store, environment);
  const toVersion = options.toVersion ?? inForce.previous[0]?.version;
  const target = inForce.previous.find(({ version }) => version === toVersion);
  if (target === undefined) {
    const kept = inForce.previous.map(({ version }) => version).join(', ');
    throw new RouterError(
      'notFound',
      `version ${toVersion ?? 'before'} of ${environment} cannot be rolled back to; kept are: ${kept || 'none'}`,
    );
  }
  await loadConfiguration(new StoreConfigurationObjects(store, environment), target.root);
  const { digest, root, version: rolledBackTo } = target;
  const expectedVersion = inForce.version;
  const request = { environment, digest, root, rolledBackTo, expectedVersion };
  return acceptRoot(store, clock, request, options);
}
