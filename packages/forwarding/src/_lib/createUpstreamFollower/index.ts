import type { Clock, Log, Metrics, Random, UpstreamId } from '@acaciacrank/base';
import { ObjectFollower, type ObjectStore, type StoredObject } from '@acaciacrank/store';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import { maxFollowerRetryMs } from '../limits/index.js';

/** Options of {@link createUpstreamFollower}. */
export interface CreateUpstreamFollowerOptions {
  store: ObjectStore;
  clock: Clock;
  codec: ForwardCodec;
  /** The table to keep equal to the records in the store. */
  table: UpstreamTable;
  /** How long changes are collected before they are read, in milliseconds. */
  batchDelayMs: number;
  log: Log;
  metrics: Metrics;
  random: Random;
}

/**
 * Creates the follower that keeps the table of upstreams equal to their records in the store.
 *
 * @param options - the store, the table and how records are decoded
 * @returns a follower that does not run yet
 *
 * @example
 * void createUpstreamFollower(options).run();
 */
export function createUpstreamFollower(options: CreateUpstreamFollowerOptions): ObjectFollower {
  const { store, clock, codec, table, batchDelayMs, log, metrics, random } = options;
  const read = (stored: StoredObject) => {
    const record = codec.readUpstream(stored);
    if (record === undefined) {
      metrics.count('unreadableUpstreams');
      log.warn({ key: stored.key, version: stored.version }, 'upstream record left out');
    }
    return record;
  };
  const idOf = (key: string) => key.slice(codec.upstreamPrefix.length) as UpstreamId;
  return new ObjectFollower({
    store,
    clock,
    random,
    prefix: codec.upstreamPrefix,
    batchDelayMs,
    maxRetryMs: maxFollowerRetryMs,
    onSnapshot: ({ objects }) => {
      table.replaceAll(objects.map(read).filter((record) => record !== undefined));
    },
    onChange: ({ key, object }) => {
      const record = object === undefined ? undefined : read(object);
      if (record === undefined) table.remove(idOf(key));
      else table.put(record);
    },
    onLost: (error) => {
      table.markStoreUnavailable();
      log.warn({ error: error.message }, 'store lost for upstreams');
    },
    onRegained: (awayMs) => {
      table.markStoreAvailable();
      log.info({ awayMs: Math.round(awayMs) }, 'store regained for upstreams');
    },
  });
}
