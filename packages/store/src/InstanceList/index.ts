import type { ListedInstance } from '../types.js';

/**
 * The platform's list of live and leaving instances. It lags: an instance may be gone that is
 * listed, and live that is not.
 */
export abstract class InstanceList {
  /**
   * The list as the platform now believes it.
   *
   * @throws RouterError `storeUnavailable` when the platform does not answer
   */
  abstract read(): Promise<readonly ListedInstance[]>;
}
