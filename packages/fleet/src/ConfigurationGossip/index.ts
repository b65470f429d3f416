import { RouterError, type Clock, type InstanceId, type Metrics } from '@acaciacrank/base';
import type { FleetLinks } from '../FleetLinks/index.js';
import type { FleetRpc } from '../FleetRpc/index.js';
import type { Membership } from '../Membership/index.js';
import type { FleetMessage } from '../types.js';

/** Access to the configuration of this instance. */
export interface GossipedConfiguration {
  /** Returns the version in force; 0 for none. */
  readonly version: () => number;
  /** Returns the manifest in force, which peers fetch; undefined for none. */
  readonly manifest: () => unknown;
  /**
   * Applies a manifest from a peer if it is newer than the one in force.
   *
   * @returns whether it came into force
   */
  readonly offer: (manifest: unknown) => boolean | Promise<boolean>;
  /**
   * Returns an object of the configuration in force by its digest; undefined when there is none.
   */
  readonly objectText: (digest: string) => string | undefined;
}

/** Options of {@link ConfigurationGossip}. */
export interface ConfigurationGossipOptions {
  clock: Clock;
  links: FleetLinks;
  rpc: FleetRpc;
  membership: Membership;
  metrics: Metrics;
  configuration: GossipedConfiguration;
  /** Timeout for each request to a peer, in milliseconds; 1,000 by default. */
  timeoutMs?: number;
  /** Whether newer versions are to be fetched from peers now; always by default. */
  isFetchEnabled?: () => boolean;
}

/**
 * Distributes configuration versions between instances by gossip, for instances that cannot reach
 * the store.
 *
 * A new version is announced to the neighbours at once, which fetch it and announce it to theirs.
 * In addition, each heartbeat contains the sender's version, and a receiver with a lower one
 * fetches the newer version. All instances thus converge on the highest version, also after a lost
 * announcement, a healed partition or a start. Versions only rise, so announcements may be repeated
 * or reordered.
 */
export class ConfigurationGossip implements Disposable {
  readonly #options: ConfigurationGossipOptions;
  readonly #subscriptions: Disposable[];
  /** Peers that reported a higher version than the one in force here, the latest report last. */
  readonly #newerVersions = new Map<InstanceId, number>();
  #fetchTask: Promise<void> | undefined;
  #isClosed = false;

  constructor(options: ConfigurationGossipOptions) {
    this.#options = options;
    const { links, rpc, configuration } = options;
    this.#subscriptions = [
      links.subscribe((message, from) => {
        this.#handleMessage(message, from);
      }),
      rpc.answer('manifest', ({ aboveVersion }) => {
        const isNewer = configuration.version() > aboveVersion;
        return { kind: 'manifest', ...(isNewer ? { manifest: configuration.manifest() } : {}) };
      }),
      rpc.answer('configurationObject', ({ digest }) => {
        const text = configuration.objectText(digest);
        return { kind: 'configurationObject', ...(text === undefined ? {} : { text }) };
      }),
    ];
  }

  /** Announces to the neighbours that a version has take effect here. */
  announce(version: number): void {
    const { links, membership } = this.#options;
    for (const id of membership.neighbours) {
      if ((membership.configurationVersionOf(id) ?? 0) >= version) continue;
      links.send(id, { kind: 'configurationChanged', version });
    }
  }

  /**
   * Reads an object of a newer configuration from a peer.
   *
   * @param digest - identifies the object; the caller must verify the text against it
   * @returns the text; undefined when the peers that were queried do not have the object
   * @throws RouterError `peerUnavailable` when none of them replied, or no peer is known to have a
   *   newer configuration
   */
  async readObject(digest: string): Promise<string | undefined> {
    const { rpc, timeoutMs = 1_000 } = this.#options;
    let lastError: unknown = new RouterError(
      'peerUnavailable',
      'no peer is known to have a newer configuration',
    );
    for (const id of [...this.#newerVersions.keys()].reverse().slice(0, maxPeersAsked)) {
      try {
        const request = { kind: 'configurationObject', digest } as const;
        const { text } = await rpc.ask(id, request, { timeoutMs });
        if (text !== undefined) return text;
        lastError = undefined;
      } catch (error) {
        lastError ??= error;
      }
    }
    if (lastError === undefined) return undefined;
    throw lastError as Error;
  }

  [Symbol.dispose](): void {
    this.#isClosed = true;
    for (const subscription of this.#subscriptions) subscription[Symbol.dispose]();
  }

  #handleMessage(message: FleetMessage, from: InstanceId): void {
    const version = announcedVersion(message);
    if (version === undefined) return;
    this.#newerVersions.delete(from);
    if (version <= this.#options.configuration.version()) return;
    this.#newerVersions.set(from, version);
    if (this.#options.isFetchEnabled?.() === false) return;
    this.#fetchTask ??= this.#fetchNewer().finally(() => {
      this.#fetchTask = undefined;
    });
  }

  /** Fetches from peers with a higher version until there are none left, or all have been asked. */
  async #fetchNewer(): Promise<void> {
    const askedIds = new Set<InstanceId>();
    for (;;) {
      const peerId = [...this.#newerVersions.keys()].reverse().find((id) => !askedIds.has(id));
      if (peerId === undefined || this.#isClosed) return;
      askedIds.add(peerId);
      await this.#fetchFrom(peerId);
      this.#pruneNewerVersions();
    }
  }

  async #fetchFrom(id: InstanceId): Promise<void> {
    const { rpc, configuration, metrics, timeoutMs = 1_000 } = this.#options;
    try {
      const request = { kind: 'manifest', aboveVersion: configuration.version() } as const;
      const { manifest } = await rpc.ask(id, request, { timeoutMs });
      if (manifest === undefined) return;
      const isInForce = await configuration.offer(manifest);
      metrics.count(isInForce ? 'configurationsFromPeers' : 'configurationsFromPeersRefused');
    } catch {
      // If the peer is alive, its next heartbeat starts another fetch.
      metrics.count('configurationFetchesFailed');
    }
  }

  /** Removes the peers whose version is no longer above the one in force here. */
  #pruneNewerVersions(): void {
    const version = this.#options.configuration.version();
    for (const [id, peerVersion] of this.#newerVersions)
      if (peerVersion <= version) this.#newerVersions.delete(id);
  }
}

/** Maximum number of peers that are requested one object. */
const maxPeersAsked = 3;

function announcedVersion(message: FleetMessage): number | undefined {
  if (message.kind === 'configurationChanged') return message.version;
  if (message.kind === 'heartbeat' || message.kind === 'heartbeatAck' || message.kind === 'news') {
    return message.configurationVersion;
  }
  return undefined;
}
