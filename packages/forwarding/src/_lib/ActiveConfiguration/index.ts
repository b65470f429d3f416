/**
 * The configuration in force on this instance.
 */
import {
  StateStream,
  toRouterError,
  type Clock,
  type Log,
  type Metrics,
  type Random,
} from '@acaciacrank/base';
import { ObjectFollower, type ObjectStore, type StoredObject } from '@acaciacrank/store';
import * as z from 'zod';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import { RouteTable } from '../../RouteTable/index.js';

/** Options of {@link ActiveConfiguration}. */
export interface ActiveConfigurationOptions {
  clock: Clock;
  codec: ForwardCodec;
  /** Called with each configuration that takes effect. */
  onApplied: (table: RouteTable) => void;
  log: Log;
  metrics: Metrics;
  random: Random;
}

const storedObjectSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() });

/**
 * Applies configurations from the store and from peers. The version in force only rises, and one that
 * cannot be read leaves the one in force.
 */
export class ActiveConfiguration {
  /** The configuration in force; undefined until the first one is known. */
  readonly routes = new StateStream<RouteTable | undefined>(undefined);
  readonly #options: ActiveConfigurationOptions;
  #stored: StoredObject | undefined;

  constructor(options: ActiveConfigurationOptions) {
    this.#options = options;
  }

  /** The version in force; 0 for none. */
  get version(): number {
    return this.routes.value?.configuration.version ?? 0;
  }

  /** Its object in the store, for peers that cannot reach the store. */
  get stored(): StoredObject | undefined {
    return this.#stored;
  }

  /** The prefix under which its object lies in the store. */
  get prefix(): string {
    const { configurationKey } = this.#options.codec;
    return configurationKey.slice(0, configurationKey.indexOf('/') + 1);
  }

  /**
   * Creates the follower that applies each version in the store.
   *
   * @param store - the store to follow
   * @param batchDelayMs - how long changes are collected before they are read, in milliseconds
   */
  createFollower(store: ObjectStore, batchDelayMs: number): ObjectFollower {
    const { clock, log, random } = this.#options;
    return new ObjectFollower({
      store,
      clock,
      random,
      prefix: this.prefix,
      // Reading several large versions at once would delay the newest one on a slow network.
      isLatestStateSufficient: true,
      batchDelayMs,
      onSnapshot: ({ objects }) => {
        for (const stored of objects) this.#applyIfConfiguration(stored);
      },
      onChange: ({ object }) => {
        this.#applyIfConfiguration(object);
      },
      onLost: (error) => {
        log.warn({ error: error.message }, 'store lost for the configuration');
      },
      onRegained: (awayMs) => {
        log.info({ awayMs: Math.round(awayMs) }, 'store regained for the configuration');
      },
    });
  }

  /**
   * Applies the stored object of a newer configuration from a peer.
   *
   * @returns whether it was applied
   */
  applyFromPeer(offered: unknown): boolean {
    const parsed = storedObjectSchema.safeParse(offered);
    if (!parsed.success || parsed.data.key !== this.#options.codec.configurationKey) return false;
    return this.#apply(parsed.data);
  }

  #applyIfConfiguration(stored: StoredObject | undefined): void {
    if (stored?.key === this.#options.codec.configurationKey) this.#apply(stored);
  }

  /** Applies a configuration, unless the one in force is the same or newer; returns whether it did. */
  #apply(stored: StoredObject): boolean {
    const { clock, codec, onApplied, log, metrics } = this.#options;
    try {
      const configuration = codec.readConfiguration(stored);
      const current = this.routes.value;
      const currentVersion = current?.configuration.version;
      if (currentVersion !== undefined && configuration.version <= currentVersion) return false;
      const table = new RouteTable(configuration, clock.monotonicMs(), current);
      this.#stored = stored;
      this.routes.set(table);
      onApplied(table);
      metrics.count('configurations', 'applied');
      log.info({ version: configuration.version, was: currentVersion }, 'configuration in force');
      return true;
    } catch (thrown) {
      metrics.count('configurations', 'refused');
      log.error({ error: toRouterError(thrown).message }, 'configuration refused');
      return false;
    }
  }
}
