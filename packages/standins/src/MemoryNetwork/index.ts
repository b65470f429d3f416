import { createRandom, type Clock, type InstanceId, type Random } from '@acaciacrank/base';
import {
  decodeMessage,
  encodeFrame,
  FleetLinks,
  type FleetMessage,
  type FleetPeer,
} from '@acaciacrank/fleet';

/** Options of {@link MemoryNetwork}. */
export interface MemoryNetworkOptions {
  clock: Clock;
  /** Seed of the random message losses. */
  seed?: number;
  /** One-way delay between two instances, in milliseconds. */
  delayMs?: number;
}

/** Message and byte counts of one instance. */
export interface LinkTraffic {
  sentMessages: number;
  /** Size of the encoded messages, without WebSocket, TCP and IP headers. */
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
  lostMessages: number;
}

/**
 * In-memory network between instances, on virtual time. Simulates delays, message loss, partitions, and
 * links that are silent in one direction.
 */
export class MemoryNetwork {
  /** One-way delay between two instances, in milliseconds. */
  delayMs: number;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #links = new Map<InstanceId, MemoryFleetLinks>();
  /** Ratio of messages that are lost, by direction `from>to`; 1 for a silent link. */
  readonly #lossRatios = new Map<string, number>();
  readonly #isolated = new Set<string>();
  #groups = new Map<string, number>();

  constructor(options: MemoryNetworkOptions) {
    this.#clock = options.clock;
    this.#random = createRandom(options.seed ?? 1);
    this.delayMs = options.delayMs ?? 1;
  }

  /** Creates the links of an instance; those of a restarted instance replace the previous ones. */
  linksFor(id: InstanceId): MemoryFleetLinks {
    const links = new MemoryFleetLinks(this, id);
    this.#links.set(id, links);
    return links;
  }

  /** Sets the ratio of messages lost in one direction; 1 makes the link silent, 0 restores it. */
  setLossRatio(from: string, to: string, ratio: number): void {
    this.#lossRatios.set(`${from}>${to}`, ratio);
  }

  /** Makes a link silent in both directions. */
  silence(a: string, b: string): void {
    this.setLossRatio(a, b, 1);
    this.setLossRatio(b, a, 1);
  }

  /** Ends message loss on a link in both directions. */
  restoreLink(a: string, b: string): void {
    this.setLossRatio(a, b, 0);
    this.setLossRatio(b, a, 0);
  }

  /** Lets only instances of the same group reach each other; an instance in no group belongs to the first. */
  partition(...groups: readonly (readonly string[])[]): void {
    this.#groups = new Map(
      groups.flatMap((group, index) => group.map((id) => [id, index] as const)),
    );
  }

  /** Ends the partition. */
  heal(): void {
    this.#groups.clear();
  }

  /** Disconnects an instance from all others, to which it looks crashed or frozen. */
  isolate(id: string, isIsolated = true): void {
    if (isIsolated) this.#isolated.add(id);
    else this.#isolated.delete(id);
  }

  /** Transmits one encoded message; it is lost if the path is cut when it is sent or when it arrives. */
  transmit(from: MemoryFleetLinks, to: InstanceId, frame: Uint8Array): void {
    if (this.#isLost(from.id, to)) {
      from.traffic.lostMessages += 1;
      return;
    }
    this.#clock.schedule(this.delayMs, () => {
      const receiver = this.#links.get(to);
      if (receiver === undefined || this.#isCut(from.id, to)) from.traffic.lostMessages += 1;
      else receiver.receive(frame, from.id);
    });
  }

  #isLost(from: string, to: string): boolean {
    if (this.#isCut(from, to)) return true;
    const ratio = this.#lossRatios.get(`${from}>${to}`) ?? 0;
    return ratio > 0 && this.#random() < ratio;
  }

  #isCut(from: string, to: string): boolean {
    if (this.#isolated.has(from) || this.#isolated.has(to)) return true;
    return (this.#groups.get(from) ?? 0) !== (this.#groups.get(to) ?? 0);
  }
}

/** In-memory links of one instance; messages are encoded as over a real network. */
export class MemoryFleetLinks extends FleetLinks implements Disposable {
  readonly id: InstanceId;
  readonly traffic: LinkTraffic = {
    sentMessages: 0,
    sentBytes: 0,
    receivedMessages: 0,
    receivedBytes: 0,
    lostMessages: 0,
  };
  readonly #network: MemoryNetwork;
  #isClosed = false;

  constructor(network: MemoryNetwork, id: InstanceId) {
    super();
    this.#network = network;
    this.id = id;
  }

  /** The peers passed to the last {@link setPeers} call. */
  peers: readonly FleetPeer[] = [];

  override setPeers(peers: readonly FleetPeer[]): void {
    this.peers = peers;
  }

  override send(to: InstanceId, message: FleetMessage): void {
    if (this.#isClosed) return;
    const frame = encodeFrame(message);
    this.traffic.sentMessages += 1;
    this.traffic.sentBytes += frame.length;
    this.#network.transmit(this, to, frame);
  }

  /**
   * Decodes and delivers a message that has arrived.
   *
   * @throws Error if it cannot be decoded
   */
  receive(frame: Uint8Array, from: InstanceId): void {
    if (this.#isClosed) return;
    this.traffic.receivedMessages += 1;
    this.traffic.receivedBytes += frame.length;
    const message = decodeMessage(frame);
    // A real link only counts such messages; here it is a bug of the sender and must fail the test.
    if (message === undefined) throw new Error(`${from} sent a message that cannot be decoded`);
    this.deliver(message, from);
  }

  /** Sends and receives nothing from now on, like a process that has ended. */
  [Symbol.dispose](): void {
    this.#isClosed = true;
  }
}
