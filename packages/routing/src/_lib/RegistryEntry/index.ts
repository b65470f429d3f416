import type { ListedInstance } from '@acaciacrank/store';
import type { Upstream } from '../../types.js';
import type { InFlightDelta } from '../InFlightDelta/index.js';

/** An upstream and its state that is private to the registry. */
export interface RegistryEntry {
  /** Latest list entry. */
  listed: ListedInstance;
  readonly upstream: Upstream;
  /** Requests started minus ended since the last report was measured. */
  readonly inFlightDelta: InFlightDelta;
  /** Stops the polling; aborted when the entry is removed. */
  readonly stop: AbortController;
  polling: Promise<void>;
  lastCacheSequence: number;
  /** Time of its last refusal of a request, by this machine's wall clock. */
  refusedAtMs: number;
}
