import type { ConfigurationSpread } from '@acaciacrank/fleet';
import { ConfigurationObjects } from '@acaciacrank/operators';

/** Reads configuration objects from other instances, for use while the store does not respond. */
export class PeerConfigurationObjects extends ConfigurationObjects {
  readonly #gossip: () => ConfigurationSpread;

  /** @param gossip - called at each read, since the gossip is created after the configuration */
  constructor(gossip: () => ConfigurationSpread) {
    super();
    this.#gossip = gossip;
  }

  override read(digest: string): Promise<string | undefined> {
    return this.#gossip().readObject(digest);
  }
}
