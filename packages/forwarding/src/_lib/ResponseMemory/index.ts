/**
 * One bound for all response bodies that an instance reads.
 */
import { bytesInMebibyte, type Clock, type Metrics } from '@acaciacrank/base';
import { decideBodyMemory, type BodyUsage } from '@acaciacrank/routing';
import { NoAnswerError } from '../NoAnswerError/index.js';

/** Bounds of all bodies. A body is copied once when it is complete, so that twice the maximum is held at most. */
const bounds = {
  softBytes: 4 * bytesInMebibyte,
  maxBytes: 12 * bytesInMebibyte,
  fairBytes: 6 * bytesInMebibyte,
  maxWaitMs: 250,
} as const;

/** Size that a body of a suspect upstream may have, in bytes. */
const maxSuspectBytes = bytesInMebibyte / 4;
/** Others wait on while the body that is read grows by this much within the time, in bytes. */
const minReadBytes = bytesInMebibyte / 4;

/** Maximum size of one body, in bytes. */
export const maxBodyBytes = bounds.maxBytes;

/** Options of {@link ResponseMemory.open}. */
export interface ReadBodyOptions {
  /** Whether other bytes of the upstream were no answer a short while ago. */
  readonly isSuspect: () => boolean;
  /** Called if the body gives way to others. */
  readonly onGiveWay: (error: Error) => void;
}

/**
 * Counts the response bodies that are being read, and bounds them together.
 *
 * Guards against upstreams that send bodies without end: with a bound for each body, they take as much memory as there
 * are requests.
 */
export class ResponseMemory {
  readonly #clock: Clock;
  readonly #metrics: Pick<Metrics, 'count'>;
  readonly #bodies = new Set<ReadBody>();
  /** Wakes the bodies that wait to be read. */
  readonly #waiting = new Map<ReadBody, () => void>();
  readonly #onRead: (bytes: number) => void;
  #totalBytes = 0;
  /** When a body last ended or grew much, or memory became short, by the monotonic clock. */
  #shortSinceMs: number | undefined;
  /** The body that is read then, and its size at that time. */
  #reader: { readonly body: ReadBody; readonly bytes: number } | undefined;
  #timer: Disposable | undefined;

  /** @param onRead - called with the number of further bytes that were read; what ends is not free before it is collected */
  constructor(
    clock: Clock,
    metrics: Pick<Metrics, 'count'>,
    onRead: (bytes: number) => void = () => undefined,
  ) {
    this.#clock = clock;
    this.#metrics = metrics;
    this.#onRead = onRead;
  }

  /** Number of bytes that are held. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Starts counting a body; dispose of the result when it is no longer read. */
  open(options: ReadBodyOptions): ReadBody {
    const body: ReadBody = new ReadBody(options, (bytes) => this.#setBytes(body, bytes));
    return body;
  }

  /** Records the size of a body; returns a promise to wait for before more of it is read. */
  #setBytes(body: ReadBody, bytes: number): Promise<void> | undefined {
    if (bytes > 0) this.#bodies.add(body);
    if (bytes > body.bytes) this.#onRead(bytes - body.bytes);
    this.#totalBytes += bytes - body.bytes;
    body.bytes = bytes;
    if (bytes === 0) this.#remove(body);
    if (bytes > maxSuspectBytes && body.isSuspect) this.#end(body);
    const reader = this.#update();
    if (reader === undefined || reader === body || !this.#bodies.has(body)) return undefined;
    return new Promise((resolve) => {
      this.#waiting.set(body, resolve);
    });
  }

  #remove(body: ReadBody): void {
    if (!this.#bodies.delete(body)) return;
    this.#wake(body);
    this.#shortSinceMs = undefined;
  }

  /** Ends the bodies that give way; returns the only one that is read, undefined if all are. */
  #update(): ReadBody | undefined {
    // Almost always there is room for all, and nobody waits.
    if (this.#totalBytes <= bounds.softBytes && this.#waiting.size === 0) return undefined;
    for (;;) {
      const nowMs = this.#clock.monotonicMs();
      const shortForMs = nowMs - (this.#shortSinceMs ?? nowMs);
      const decision = decideBodyMemory([...this.#bodies], bounds, shortForMs);
      if (decision.kind === 'end') {
        this.#end(decision.body);
        continue;
      }
      const reader = decision.kind === 'readOne' ? decision.body : undefined;
      this.#recordReader(reader, nowMs);
      for (const body of [...this.#waiting.keys()])
        if (reader === undefined || reader === body) this.#wake(body);
      return reader;
    }
  }

  #end(body: ReadBody): void {
    this.#metrics.count('bodiesGaveWay');
    this.#totalBytes -= body.bytes;
    body.bytes = 0;
    this.#remove(body);
    body.giveWay();
  }

  #wake(body: ReadBody): void {
    this.#waiting.get(body)?.();
    this.#waiting.delete(body);
  }

  #recordReader(body: ReadBody | undefined, nowMs: number): void {
    const { body: known, bytes = 0 } = this.#reader ?? {};
    const hasProgress =
      body !== known || (body !== undefined && body.bytes >= bytes + minReadBytes);
    if (this.#shortSinceMs !== undefined && !hasProgress) return;
    this.#reader = body && { body, bytes: body.bytes };
    this.#shortSinceMs = body === undefined ? undefined : nowMs;
    this.#scheduleCheck();
  }

  /** Bodies that wait see to it that the one that is read does not keep them waiting. */
  #scheduleCheck(): void {
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
    if (this.#shortSinceMs === undefined) return;
    const dueMs = this.#shortSinceMs + bounds.maxWaitMs;
    this.#timer = this.#clock.schedule(Math.max(1, dueMs - this.#clock.monotonicMs()), () => {
      this.#timer = undefined;
      this.#update();
    });
  }
}

/** A body that is being read. */
export class ReadBody implements BodyUsage, Disposable {
  bytes = 0;
  readonly #options: ReadBodyOptions;
  readonly #onSize: (bytes: number) => Promise<void> | undefined;
  #hasEnded = false;

  constructor(options: ReadBodyOptions, onSize: (bytes: number) => Promise<void> | undefined) {
    this.#options = options;
    this.#onSize = onSize;
  }

  get isSuspect(): boolean {
    return this.#options.isSuspect();
  }

  /**
   * Records how many bytes are held; it may give way at once.
   *
   * @returns undefined if more can be read at once, otherwise a promise to wait for
   */
  setBytes(bytes: number): Promise<void> | undefined {
    return this.#hasEnded ? undefined : this.#onSize(bytes);
  }

  /** Ends it, so that others can be read. */
  giveWay(): void {
    this.#hasEnded = true;
    this.#options.onGiveWay(new NoAnswerError('bodyGaveWay'));
  }

  [Symbol.dispose](): void {
    if (!this.#hasEnded) void this.#onSize(0);
    this.#hasEnded = true;
  }
}
