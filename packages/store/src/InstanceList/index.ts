import type { ListedInstance } from '../types.js';

/**
 * The platform's list of live and leaving instances. It lags: a listed instance may be gone, and a
 * live instance may be missing.
 */
export abstract class InstanceList {
  /**
   * Reads the current list.
   *
   * @throws RouterError `storeUnavailable` when the platform does not respond
   */
  abstract read(): Promise<readonly ListedInstance[]>;
}
