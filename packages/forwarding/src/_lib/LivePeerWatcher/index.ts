import type { InstanceId } from '@acaciacrank/base';
import type { Member } from '@acaciacrank/fleet';

/** Reports each time another instance becomes live: at first, again, or after a restart. */
export class LivePeerWatcher {
  readonly #onLive: (peer: InstanceId) => void;
  /** The run id of each live instance. */
  readonly #runIds = new Map<InstanceId, string>();

  constructor(onLive: (peer: InstanceId) => void) {
    this.#onLive = onLive;
  }

  /** Updates the states of all other instances. */
  update(members: readonly Member[]): void {
    for (const { id, state, life } of members) {
      if (state !== 'live') this.#runIds.delete(id);
      else if (this.#runIds.get(id) !== life) {
        this.#runIds.set(id, life);
        this.#onLive(id);
      }
    }
  }
}
