import {
  digestText,
  RouterError,
  type Clock,
  type InstanceId,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import type { ObjectStore } from '@acaciacrank/store';
import { z } from 'zod';

const recordSchema = z.strictObject({
  format: z.literal(1),
  requestId: z.string(),
  holder: z.string(),
  bodyDigest: z.string(),
  state: z.enum(['intent', 'ran', 'notRun']),
  /** The answer as the caller got it; kept up to a bound. */
  answer: z.unknown().optional(),
  atMs: z.number(),
});

/** What the store keeps of a request that may not be repeated. */
export type RequestRecord = z.infer<typeof recordSchema>;

/** What {@link RequestRecords.begin} found. */
export type BeginResult =
  | { readonly kind: 'begun'; readonly version: number }
  | { readonly kind: 'earlier'; readonly record: RequestRecord };

/** Options of {@link RequestRecords}. */
export interface RequestRecordsOptions {
  store: ObjectStore;
  clock: Clock;
  instanceId: InstanceId;
}

/** Options of {@link RequestRecords.begin}. */
export interface BeginOptions {
  /** Aborted when the request is given up: an intent that stands by then is not dispatched. */
  signal?: AbortSignal;
}

/** How many intents that were never dispatched are remembered. */
const maxUndispatched = 1_000;
const firstTakeBackMs = 1_000;
const longestTakeBackMs = 30_000;
/** How often an intent is tried to be taken back; with the back-off about ten minutes. */
const maxTakeBacks = 24;

/**
 * Records of requests that may not be repeated: an intent before dispatch, the outcome after it.
 *
 * The intent is created only where no record stands, so of two instances that get the same key one
 * wins, and the key is dispatched once, for ever.
 */
export class RequestRecords {
  readonly #options: RequestRecordsOptions;
  /** Request ids, by key, whose intent may stand although this life never dispatched them. */
  readonly #undispatched = new Map<RequestKey, RequestId>();

  constructor(options: RequestRecordsOptions) {
    this.#options = options;
  }

  /**
   * Writes the intent, durably.
   *
   * The answer to the write can be lost after it took effect. That shows as an error; the record is
   * then read, and it is ours when it carries our request id. Where the read fails too the intent
   * may stand, and nobody will dispatch it: this instance remembers that, lets a retry take the
   * intent over, and takes it back as not run once the store answers, for retries elsewhere.
   *
   * @throws RouterError `storeUnavailable` when it cannot be told whether the intent stands (the
   * request was not dispatched), `keyReused`, or `internal` for a record that cannot be read
   */
  async begin(
    key: RequestKey,
    requestId: RequestId,
    bodyDigest: string,
    options: BeginOptions = {},
  ): Promise<BeginResult> {
    try {
      const result = await this.#begin(key, requestId, bodyDigest);
      if (result.kind === 'earlier' || options.signal?.aborted !== true) return result;
    } catch (error) {
      if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
      this.#giveUp(key, requestId);
      throw error;
    }
    this.#giveUp(key, requestId);
    throw new RouterError('deadlineExceeded', 'the request was given up before it was dispatched');
  }

  /**
   * Reads a record without writing an intent.
   *
   * @throws RouterError `storeUnavailable`, or `internal` for a record that cannot be read
   */
  async find(key: RequestKey): Promise<RequestRecord | undefined> {
    return (await this.#read(key))?.record;
  }

  async #begin(key: RequestKey, requestId: RequestId, bodyDigest: string): Promise<BeginResult> {
    const { store } = this.#options;
    const record = this.#record(requestId, bodyDigest, 'intent');
    const written = await store
      .write(recordKey(key), record, { kind: 'absent' })
      .catch(() => undefined);
    if (written?.outcome === 'written') return { kind: 'begun', version: written.version };
    const found = await this.#read(key);
    if (found === undefined) {
      throw new RouterError('storeUnavailable', 'the intent could not be made durable');
    }
    if (found.record.requestId === requestId) return { kind: 'begun', version: found.version };
    if (found.record.bodyDigest !== bodyDigest) {
      throw new RouterError('keyReused', 'the idempotency key was used with another body');
    }
    const isUndispatched = this.#undispatched.get(key) === found.record.requestId;
    const mayBegin = found.record.state === 'notRun' || isUndispatched;
    return mayBegin
      ? this.#beginAgain(key, record, found.version)
      : { kind: 'earlier', record: found.record };
  }

  /**
   * Writes a new intent over a record that says that no upstream got the call, so that its caller may
   * retry under the same key. The update is conditional: of two retries, one dispatches.
   */
  async #beginAgain(key: RequestKey, record: RequestRecord, version: number): Promise<BeginResult> {
    const { store } = this.#options;
    const written = await store
      .write(recordKey(key), record, { kind: 'version', version })
      .catch(() => undefined);
    if (written?.outcome === 'written') return { kind: 'begun', version: written.version };
    const found = await this.#read(key);
    if (found === undefined) throw new RouterError('internal', 'a request record was removed');
    if (found.record.requestId === record.requestId) {
      return { kind: 'begun', version: found.version };
    }
    return { kind: 'earlier', record: found.record };
  }

  #giveUp(key: RequestKey, requestId: RequestId): void {
    const [oldest] = this.#undispatched.keys();
    if (oldest !== undefined && this.#undispatched.size >= maxUndispatched) {
      this.#undispatched.delete(oldest);
    }
    this.#undispatched.set(key, requestId);
    void this.#takeBack(key, requestId);
  }

  /** Turns an intent that was never dispatched into "not run", while nobody has taken it over. */
  async #takeBack(key: RequestKey, requestId: RequestId): Promise<void> {
    const { store, clock } = this.#options;
    let backOffMs = firstTakeBackMs;
    for (let attempt = 0; attempt < maxTakeBacks; attempt += 1) {
      try {
        const found = await this.#read(key);
        if (found?.record.requestId !== requestId || found.record.state !== 'intent') return;
        const record = this.#record(requestId, found.record.bodyDigest, 'notRun');
        const condition = { kind: 'version', version: found.version } as const;
        const result = await store.write(recordKey(key), record, condition);
        if (result.outcome === 'written') return;
      } catch (error) {
        if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') return;
      }
      await clock.sleep(backOffMs);
      backOffMs = Math.min(longestTakeBackMs, backOffMs * 2);
    }
  }

  async #read(key: RequestKey): Promise<{ record: RequestRecord; version: number } | undefined> {
    const stored = await this.#options.store.read(recordKey(key));
    if (stored === undefined) return undefined;
    const parsed = recordSchema.safeParse(stored.value);
    if (parsed.success) return { record: parsed.data, version: stored.version };
    throw new RouterError('internal', `request record ${stored.key} does not parse`, {
      cause: parsed.error,
      ran: 'unknown',
    });
  }

  #record(requestId: RequestId, bodyDigest: string, state: RequestRecord['state']): RequestRecord {
    const { clock, instanceId } = this.#options;
    const atMs = clock.wallMs();
    return { format: 1, requestId, holder: instanceId, bodyDigest, state, atMs };
  }

  /** Writes the outcome over the intent. */
  async finish(
    key: RequestKey,
    requestId: RequestId,
    version: number,
    outcome: Pick<RequestRecord, 'state' | 'bodyDigest' | 'answer'>,
  ): Promise<void> {
    const { store } = this.#options;
    const record = { ...this.#record(requestId, outcome.bodyDigest, outcome.state), ...outcome };
    await store.write(recordKey(key), record, { kind: 'version', version });
  }
}

function recordKey(key: RequestKey): string {
  return `requests/${digestText(key)}`;
}
