import type { Clock, InstanceId, Random, ServiceName, UpstreamId } from '@acaciacrank/base';
import type { CallerInstance } from '../InstanceFleet/index.js';
import type { IncomingMessage } from 'node:http';
import { relayedByHeader } from '../_lib/relayProtocol/index.js';
import { Upstream } from '../_lib/Upstream/index.js';

/** Options of {@link RelayPeers}. */
export interface RelayPeersOptions {
  clock: Clock;
  random: Random;
  instanceId: InstanceId;
  /** The other instances that accept requests. */
  peers: () => readonly CallerInstance[];
  /** Returns a key that only this instance and a peer know. */
  keyOf: (peer: InstanceId) => string;
}

/** For how long a peer that cannot be reached, or reaches no upstream itself, is passed over, in ms. */
const passOverMs = { unreachable: 2_000, refused: 500 } as const;
/** Maximum number of peers with open connections; that of the least recently used one are closed. */
const maxConnectedPeers = 32;

/** The peers that send requests to upstreams for this instance while it reaches none, with connections to them. */
export class RelayPeers implements AsyncDisposable {
  readonly #options: RelayPeersOptions;
  /** The least recently used first. */
  readonly #connected = new Map<InstanceId, Upstream>();
  readonly #passedOverUntilMs = new Map<InstanceId, number>();

  constructor(options: RelayPeersOptions) {
    this.#options = options;
  }

  /** Id of this instance. */
  get instanceId(): InstanceId {
    return this.#options.instanceId;
  }

  /** Returns a key that only this instance and a peer know, by which the peer believes the headers of a relay. */
  keyOf(peer: InstanceId): string {
    return this.#options.keyOf(peer);
  }

  /**
   * Whether a request may be relayed: there are peers, and none relays it already. One that only claims to be relayed
   * is not relayed either, so that no request goes round between instances that do not know each other's keys yet.
   */
  canRelay({ request }: { readonly request: Pick<IncomingMessage, 'headers'> }): boolean {
    return request.headers[relayedByHeader] === undefined && this.#options.peers().length > 0;
  }

  /**
   * Chooses the peer with fewer relayed requests out of two random ones.
   *
   * @param asked - peers that the same request was sent to
   * @returns undefined if there is none left
   */
  choose(asked: ReadonlySet<InstanceId>): Upstream | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    const usable = this.#options
      .peers()
      .filter(({ instanceId }) => !asked.has(instanceId))
      .filter(({ instanceId }) => nowMs >= (this.#passedOverUntilMs.get(instanceId) ?? 0));
    const first = this.#pickRandom(usable);
    const second = this.#pickRandom(usable);
    if (first === undefined || second === undefined) return undefined;
    const load = ({ instanceId }: CallerInstance) =>
      this.#connected.get(instanceId)?.inFlight.size ?? 0;
    return this.#connect(load(second) < load(first) ? second : first);
  }

  /** Passes over a peer for a while. */
  passOver(peer: InstanceId, reason: keyof typeof passOverMs): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#passedOverUntilMs.set(peer, nowMs + passOverMs[reason]);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const peers = [...this.#connected.values()];
    this.#connected.clear();
    await Promise.all(peers.map((peer) => peer[Symbol.asyncDispose]()));
  }

  #pickRandom(peers: readonly CallerInstance[]): CallerInstance | undefined {
    return peers[Math.floor(this.#options.random() * peers.length)];
  }

  #connect(peer: CallerInstance): Upstream {
    const { instanceId } = peer;
    const address = new URL(peer.url).host;
    const known = this.#connected.get(instanceId);
    this.#connected.delete(instanceId);
    const isKnown = known?.address === address;
    if (known !== undefined && !isKnown) close(known);
    const target = isKnown ? known : createTarget(peer, address, this.#options.clock);
    this.#connected.set(instanceId, target);
    const [oldest] = this.#connected;
    if (this.#connected.size > maxConnectedPeers && oldest?.[1].inFlight.size === 0) {
      this.#connected.delete(oldest[0]);
      close(oldest[1]);
    }
    return target;
  }
}

/** Makes a peer the target of attempts, as upstreams are. */
function createTarget(peer: CallerInstance, address: string, clock: Clock): Upstream {
  const [ip = '', port = ''] = address.split(':');
  const record = {
    id: peer.instanceId as string as UpstreamId,
    service: '(peer)' as ServiceName,
    ip,
    port: Number(port),
    failureDomain: peer.failureDomain,
    slots: 1,
    state: 'live',
  } as const;
  return new Upstream(record, { clock });
}

function close(target: Upstream): void {
  target[Symbol.asyncDispose]().catch(() => {
    // A failure to close is ignored: the connections are discarded.
  });
}
