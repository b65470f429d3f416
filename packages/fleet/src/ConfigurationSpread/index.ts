import { RouterError, type Clock, type InstanceId, type Metrics } from '@acaciacrank/base';
import type { FleetLinks } from '../FleetLinks/index.js';
import type { FleetQuestions } from '../FleetQuestions/index.js';
import type { Membership } from '../Membership/index.js';
import type { FleetMessage } from '../types.js';

/** The configuration of this instance, as its spread needs it. */
export interface SpreadConfiguration {
  /** The version in force; 0 for none. */
  readonly version: () => number;
  /** The manifest in force, to hand to peers; undefined for none. */
  readonly manifest: () => unknown;
  /**
   * Acts on a manifest when it is newer than the one in force.
   *
   * @returns whether it came into force
   */
  readonly offer: (manifest: unknown) => boolean | Promise<boolean>;
  /** An object of the configuration in force, by digest; undefined when it is not known here. */
  readonly objectText: (digest: string) => string | undefined;
}

/** Options of {@link ConfigurationSpread}. */
export interface ConfigurationSpreadOptions {
  clock: Clock;
  links: FleetLinks;
  questions: FleetQuestions;
  membership: Membership;
  metrics: Metrics;
  configuration: SpreadConfiguration;
  /** How long a peer has to answer, in milliseconds. */
  timeoutMs?: number;
  /** Whether newer versions are asked for now; always by default. */
  isWanted?: () => boolean;
}

/**
 * Spreads configuration versions from instance to instance, for those that the store does not reach.
 *
 * A new version is told to the neighbours at once, who fetch it and tell theirs. Besides, each
 * heartbeat names the sender's version, and who is behind asks for what is newer: so a telling that
 * was lost, a healed partition and an instance that just started all end with the highest version.
 * Versions only rise, so it does no harm to hear of one twice or in any order.
 */
export class ConfigurationSpread implements Disposable {
  readonly #options: ConfigurationSpreadOptions;
  readonly #receiving: Disposable[];
  /** Peers that were heard to have a higher version, the newest word last. */
  readonly #ahead = new Map<InstanceId, number>();
  #fetching: Promise<void> | undefined;
  #isClosed = false;

  constructor(options: ConfigurationSpreadOptions) {
    this.#options = options;
    const { links, questions, configuration } = options;
    this.#receiving = [
      links.receive((message, from) => {
        this.#hear(message, from);
      }),
      questions.answer('manifest', ({ aboveVersion }) => {
        const isNewer = configuration.version() > aboveVersion;
        return { kind: 'manifest', ...(isNewer ? { manifest: configuration.manifest() } : {}) };
      }),
      questions.answer('configurationObject', ({ digest }) => {
        const text = configuration.objectText(digest);
        return { kind: 'configurationObject', ...(text === undefined ? {} : { text }) };
      }),
    ];
  }

  /** Tells the neighbours that a version has come into force here. */
  announce(version: number): void {
    const { links, membership } = this.#options;
    for (const id of membership.neighbours) {
      if ((membership.configurationVersionOf(id) ?? 0) >= version) continue;
      links.send(id, { kind: 'configurationChanged', version });
    }
  }

  /**
   * Reads an object of a newer configuration from a peer that has it.
   *
   * @param digest - names the object; the text must be checked against it
   * @returns undefined when the peers that were asked do not have it
   * @throws RouterError `peerUnavailable` when none of them answered
   */
  async readObject(digest: string): Promise<string | undefined> {
    const { questions, timeoutMs = 1_000 } = this.#options;
    let lastError: unknown = new RouterError(
      'peerUnavailable',
      'no peer has a newer configuration',
    );
    for (const id of [...this.#ahead.keys()].reverse().slice(0, maxPeersAsked)) {
      try {
        const question = { kind: 'configurationObject', digest } as const;
        const { text } = await questions.ask(id, question, { timeoutMs });
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
    for (const receiving of this.#receiving) receiving[Symbol.dispose]();
  }

  #hear(message: FleetMessage, from: InstanceId): void {
    const version = versionIn(message);
    if (version === undefined) return;
    this.#ahead.delete(from);
    if (version <= this.#options.configuration.version()) return;
    this.#ahead.set(from, version);
    if (this.#options.isWanted?.() === false) return;
    this.#fetching ??= this.#fetch().finally(() => {
      this.#fetching = undefined;
    });
  }

  /** Fetches from whoever is ahead until nobody is, or all of them were asked. */
  async #fetch(): Promise<void> {
    const asked = new Set<InstanceId>();
    for (;;) {
      const next = [...this.#ahead.keys()].reverse().find((id) => !asked.has(id));
      if (next === undefined || this.#isClosed) return;
      asked.add(next);
      await this.#fetchFrom(next);
      this.#forgetOvertaken();
    }
  }

  async #fetchFrom(id: InstanceId): Promise<void> {
    const { questions, configuration, metrics, timeoutMs = 1_000 } = this.#options;
    try {
      const question = { kind: 'manifest', aboveVersion: configuration.version() } as const;
      const { manifest } = await questions.ask(id, question, { timeoutMs });
      if (manifest === undefined) return;
      const isInForce = await configuration.offer(manifest);
      metrics.count(isInForce ? 'configurationsFromPeers' : 'configurationsFromPeersRefused');
    } catch {
      // The peer is named again by its next heartbeat, if it lives.
      metrics.count('configurationFetchesFailed');
    }
  }

  #forgetOvertaken(): void {
    const version = this.#options.configuration.version();
    for (const [id, theirs] of this.#ahead) if (theirs <= version) this.#ahead.delete(id);
  }
}

/** How many peers are asked for one object. */
const maxPeersAsked = 3;

function versionIn(message: FleetMessage): number | undefined {
  if (message.kind === 'configurationChanged') return message.version;
  if (message.kind === 'heartbeat' || message.kind === 'heartbeatAck' || message.kind === 'news') {
    return message.configurationVersion;
  }
  return undefined;
}
