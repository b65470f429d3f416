import type { ConfigurationGossip } from '@acaciacrank/fleet';
import { ConfigurationObjects } from '@acaciacrank/operators';

/** Reads configuration objects from other instances, for use while the store does not respond. */
export class PeerConfigurationObjects extends ConfigurationObjects {
  readonly #gossip: () => ConfigurationGossip;

  /** @param gossip - called at each read, since the gossip is created after the configuration */
  constructor(gossip: () => ConfigurationGossip) {
    super();
    this.#gossip = gossip;
  }

  override read(digest: string): Promise<string | undefined> {
    return this.#gossip().readObject(digest);
  }
}
