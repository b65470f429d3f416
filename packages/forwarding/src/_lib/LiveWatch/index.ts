import type { InstanceId } from '@acaciacrank/base';
import type { Member } from '@acaciacrank/fleet';

/** Reports when another instance becomes live, initially, again or after a restart. */
export class LiveWatch {
  readonly #onLive: (peer: InstanceId) => void;
  /** The current life of each live instance. */
  readonly #lives = new Map<InstanceId, string>();

  constructor(onLive: (peer: InstanceId) => void) {
    this.#onLive = onLive;
  }

  /** Notes the current states of all other instances. */
  note(members: readonly Member[]): void {
    for (const { id, state, life } of members) {
      if (state !== 'live') this.#lives.delete(id);
      else if (this.#lives.get(id) !== life) {
        this.#lives.set(id, life);
        this.#onLive(id);
      }
    }
  }
}
