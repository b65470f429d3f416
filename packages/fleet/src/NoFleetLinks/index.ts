import { FleetLinks } from '../FleetLinks/index.js';

/** Null implementation for an instance without peers: sends nothing and receives nothing. */
export class NoFleetLinks extends FleetLinks {
  override send(): void {
    // Without peers there is no recipient.
  }

  override setPeers(): void {
    // Peers are ignored, since no messages are sent.
  }
}
