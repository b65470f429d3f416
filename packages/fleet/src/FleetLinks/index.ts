import type { InstanceId } from '@acaciacrank/base';
import type { FleetMessage, FleetMessageHandler, FleetPeer } from '../types.js';

/**
 * Message transport between instances. Messages may be lost, and a link may stop delivering for
 * good.
 */
export abstract class FleetLinks {
  readonly #handlers = new Set<FleetMessageHandler>();

  /**
   * Sends a message without waiting for it to arrive. A message to a peer that cannot be reached, or whose queue is
   * full, is dropped and counted; so is one that cannot be encoded. It must not throw.
   *
   * @param to - the peer
   */
  abstract send(to: InstanceId, message: FleetMessage): void;

  /**
   * Sets the addresses of all peers, and closes the links to peers that are no longer in the list.
   *
   * @param peers - all peers that messages may be sent to
   */
  abstract setPeers(peers: readonly FleetPeer[]): void;

  /**
   * Subscribes to the messages of peers.
   *
   * @param handler - called for each message; must not throw
   * @returns the subscription; dispose of it to unsubscribe
   */
  subscribe(handler: FleetMessageHandler): Disposable {
    this.#handlers.add(handler);
    return {
      [Symbol.dispose]: () => {
        this.#handlers.delete(handler);
      },
    };
  }

  /** Passes a received message to all subscribers. */
  protected deliver(message: FleetMessage, from: InstanceId): void {
    for (const handler of this.#handlers) handler(message, from);
  }
}
