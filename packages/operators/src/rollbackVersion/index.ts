import { RouterError, type Clock } from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { acceptRoot, type Acceptance, type AcceptRootOptions } from '../acceptRoot/index.js';
import { StoreConfigurationObjects } from '../ConfigurationObjects/index.js';
import { loadConfiguration } from '../loadConfiguration/index.js';
import { readManifest } from '../readManifest/index.js';

/** Options of {@link rollbackVersion}. */
export interface RollbackVersionOptions extends Pick<AcceptRootOptions, 'random' | 'maxAttempts'> {
  /** The version to restore; the previous one by default. */
  toVersion?: number | undefined;
}

/**
 * Puts the content of an earlier version in force again, as a new version.
 *
 * All its objects are loaded first, so that no version takes effect that instances cannot load.
 *
 * @param store - the platform's object store
 * @param clock - used for timestamps and the back-off
 * @param environment - the environment's name
 * @param options - the version to restore
 * @returns the accepted version and the manifest now in force
 * @throws RouterError `notFound` if that version is no longer available, or as
 * {@link loadConfiguration} and {@link acceptRoot}
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
    const availableVersions = inForce.previous.map(({ version }) => version).join(', ');
    throw new RouterError(
      'notFound',
      `version ${toVersion ?? '(previous)'} of ${environment} is not available for rollback; available versions: ${availableVersions || 'none'}`,
    );
  }
  await loadConfiguration(new StoreConfigurationObjects(store, environment), target.root);
  const { digest, root, version: rolledBackTo } = target;
  const expectedVersion = inForce.version;
  const request = { environment, digest, root, rolledBackTo, expectedVersion };
  return acceptRoot(store, clock, request, options);
}
