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

/** Maximum number of records in one line of the log. */
const maxLoggedRecords = 5;

/** A record that cannot be used. */
interface LeftOutRecord {
  readonly key: string;
  readonly version: number;
  readonly problem: string;
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
  const leftOut: LeftOutRecord[] = [];
  const read = (stored: StoredObject) =>
    codec.readUpstream(stored, (problem) => {
      metrics.count('unreadableUpstreams');
      if (leftOut.length >= maxLoggedRecords) leftOut.shift();
      leftOut.push({ key: stored.key, version: stored.version, problem });
    });
  /** One line for all records of a call, which may be a thousand. */
  const logLeftOut = () => {
    if (leftOut.length === 0) return;
    log.warn({ records: leftOut.splice(0) }, 'upstream records left out');
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
      logLeftOut();
    },
    onChange: ({ key, object }) => {
      const record = object === undefined ? undefined : read(object);
      // A record that cannot be read any more names no upstream to use, as if it were gone.
      if (record === undefined) table.remove(idOf(key));
      else table.put(record);
      logLeftOut();
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
