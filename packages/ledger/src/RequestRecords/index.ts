import {
  digestText,
  RouterError,
  type Clock,
  type InstanceId,
  type RequestId,
  type RequestKey,
} from '@acaciacrank/base';
import { maxCopyAgeMs, updateObject, type ObjectStore } from '@acaciacrank/store';
import * as z from 'zod';

const recordSchema = z.strictObject({
  format: z.literal(1),
  requestId: z.string(),
  holder: z.string(),
  bodyDigest: z.string(),
  state: z.enum(['intent', 'ran', 'notRun']),
  /** The response sent to the caller; stored up to a size limit. */
  answer: z.unknown().optional(),
  atMs: z.number(),
});

/** The stored record of a request that must not be executed twice. */
export type RequestRecord = z.infer<typeof recordSchema>;

/** The result of {@link RequestRecords.begin}. */
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
  /** Aborted when the request is abandoned: an intent that is stored after that is not dispatched. */
  signal?: AbortSignal;
}

/** The maximum number of intents to track that were never dispatched. */
const maxUndispatched = 1_000;
const initialRetractBackoffMs = 1_000;
const maxRetractBackoffMs = 30_000;
/** The maximum attempts to retract an intent; about ten minutes including the backoff. */
const maxRetractAttempts = 24;

/**
 * Records of requests that must not be executed twice: an intent before dispatch, the outcome after it.
 *
 * An intent is created only if no record exists, so if two instances get the same key only one succeeds,
 * and a key is dispatched at most once.
 */
export class RequestRecords implements Disposable {
  readonly #options: RequestRecordsOptions;
  /** Records that this instance has written lately, by key, to write them again after a restore. */
  readonly #written = new Map<RequestKey, RequestRecord>();
  readonly #epochSubscription: Disposable;
  /** Request ids by key whose intent may be stored although this process run never dispatched them. */
  readonly #undispatched = new Map<RequestKey, RequestId>();

  constructor(options: RequestRecordsOptions) {
    this.#options = options;
    this.#epochSubscription = options.store.epochs.followRestores(() => {
      for (const [key, record] of this.#written) void this.#writeAgain(key, record);
    });
  }

  [Symbol.dispose](): void {
    this.#epochSubscription[Symbol.dispose]();
  }

  /**
   * Writes the intent durably.
   *
   * The response to the write can be lost after the write took effect. This shows as an error; the
   * record is then read, and belongs to this request if it has its request id. If the read fails as
   * well, the intent may be stored without being dispatched. This instance tracks that, lets a retry
   * replace the intent, and marks it as not run once the store responds, for retries at other instances.
   *
   * @throws RouterError `storeUnavailable` if it is unknown whether the intent is stored (the request
   * was not dispatched), `keyReused`, `deadlineExceeded` if the request was abandoned meanwhile, or
   * `internal` for a record that does not parse
   */
  async begin(
    key: RequestKey,
    requestId: RequestId,
    bodyDigest: string,
    options: BeginOptions = {},
  ): Promise<BeginResult> {
    try {
      const result = await this.#createIntent(key, requestId, bodyDigest);
      if (result.kind === 'earlier' || options.signal?.aborted !== true) return result;
    } catch (error) {
      if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') throw error;
      this.#abandonIntent(key, requestId);
      throw error;
    }
    this.#abandonIntent(key, requestId);
    throw new RouterError('deadlineExceeded', 'the request was abandoned before it was dispatched');
  }

  /**
   * Reads a record without writing an intent.
   *
   * @throws RouterError `storeUnavailable`, or `internal` for a record that does not parse
   */
  async find(key: RequestKey): Promise<RequestRecord | undefined> {
    return (await this.#read(key))?.record;
  }

  async #createIntent(
    key: RequestKey,
    requestId: RequestId,
    bodyDigest: string,
  ): Promise<BeginResult> {
    const { store } = this.#options;
    const record = this.#createRecord(requestId, bodyDigest, 'intent');
    const written = await store
      .write(recordKey(key), record, { kind: 'absent' })
      .catch(() => undefined);
    if (written?.outcome === 'written') {
      this.#rememberWritten(key, record);
      return { kind: 'begun', version: written.version };
    }
    const found = await this.#read(key);
    if (found === undefined) {
      throw new RouterError('storeUnavailable', 'the intent could not be stored');
    }
    if (found.record.requestId === requestId) {
      this.#rememberWritten(key, record);
      return { kind: 'begun', version: found.version };
    }
    if (found.record.bodyDigest !== bodyDigest) {
      throw new RouterError('keyReused', 'the idempotency key was used with another body');
    }
    const isUndispatched = this.#undispatched.get(key) === found.record.requestId;
    const isReplaceable = found.record.state === 'notRun' || isUndispatched;
    return isReplaceable
      ? this.#replaceIntent(key, record, found.version)
      : { kind: 'earlier', record: found.record };
  }

  /**
   * Replaces a record of a call that no upstream received, so that its caller may retry with the same
   * key. The write is conditional: of two concurrent retries only one dispatches.
   */
  async #replaceIntent(
    key: RequestKey,
    record: RequestRecord,
    version: number,
  ): Promise<BeginResult> {
    const { store } = this.#options;
    const written = await store
      .write(recordKey(key), record, { kind: 'version', version })
      .catch(() => undefined);
    if (written?.outcome === 'written') return { kind: 'begun', version: written.version };
    const found = await this.#read(key);
    if (found === undefined)
      throw new RouterError('internal', 'the request record was removed during the retry');
    if (found.record.requestId === record.requestId) {
      return { kind: 'begun', version: found.version };
    }
    return { kind: 'earlier', record: found.record };
  }

  #abandonIntent(key: RequestKey, requestId: RequestId): void {
    const [oldest] = this.#undispatched.keys();
    if (oldest !== undefined && this.#undispatched.size >= maxUndispatched) {
      this.#undispatched.delete(oldest);
    }
    this.#undispatched.set(key, requestId);
    void this.#retractIntent(key, requestId);
  }

  /** Marks an intent that was never dispatched as not run, unless another request has replaced it. */
  async #retractIntent(key: RequestKey, requestId: RequestId): Promise<void> {
    const { store, clock } = this.#options;
    let backoffMs = initialRetractBackoffMs;
    for (let attempt = 0; attempt < maxRetractAttempts; attempt += 1) {
      try {
        const found = await this.#read(key);
        if (found?.record.requestId !== requestId || found.record.state !== 'intent') return;
        const record = this.#createRecord(requestId, found.record.bodyDigest, 'notRun');
        const condition = { kind: 'version', version: found.version } as const;
        const result = await store.write(recordKey(key), record, condition);
        if (result.outcome === 'written') return;
      } catch (error) {
        if (!(error instanceof RouterError) || error.kind !== 'storeUnavailable') return;
      }
      await clock.sleep(backoffMs);
      backoffMs = Math.min(maxRetractBackoffMs, backoffMs * 2);
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

  #createRecord(
    requestId: RequestId,
    bodyDigest: string,
    state: RequestRecord['state'],
  ): RequestRecord {
    const { clock, instanceId } = this.#options;
    const atMs = clock.wallMs();
    return { format: 1, requestId, holder: instanceId, bodyDigest, state, atMs };
  }

  /** Replaces the intent by the outcome. */
  async finish(
    key: RequestKey,
    requestId: RequestId,
    version: number,
    outcome: Pick<RequestRecord, 'state' | 'bodyDigest' | 'answer'>,
  ): Promise<void> {
    const { store } = this.#options;
    const record = {
      ...this.#createRecord(requestId, outcome.bodyDigest, outcome.state),
      ...outcome,
    };
    this.#rememberWritten(key, record);
    const result = await store.write(recordKey(key), record, { kind: 'version', version });
    // The version is from before a restore of the store.
    if (result.outcome === 'conflict') await this.#writeAgain(key, record);
  }

  #rememberWritten(key: RequestKey, record: RequestRecord): void {
    const nowMs = this.#options.clock.wallMs();
    this.#written.delete(key);
    this.#written.set(key, record);
    for (const [oldKey, { atMs }] of this.#written) {
      if (nowMs - atMs <= maxCopyAgeMs) break;
      this.#written.delete(oldKey);
    }
  }

  /**
   * Writes a record again that the store lost when it returned from an older copy. A record of another
   * request is left as it is.
   */
  async #writeAgain(key: RequestKey, record: RequestRecord): Promise<void> {
    const { store, clock } = this.#options;
    try {
      await updateObject(store, recordKey(key), clock, (stored) => {
        const known = recordSchema.safeParse(stored?.value);
        if (!known.success) return stored === undefined ? record : stored.value;
        const isOlder = known.data.requestId === record.requestId && known.data.state === 'intent';
        return isOlder && record.state !== 'intent' ? record : stored?.value;
      });
    } catch {
      // The store went away again; its next restore writes the record once more.
    }
  }
}

function recordKey(key: RequestKey): string {
  return `requests/${digestText(key)}`;
}
