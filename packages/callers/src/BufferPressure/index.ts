import {
  bytesInMebibyte,
  collectGarbage,
  collectYoungGarbage,
  type Clock,
} from '@acaciacrank/base';
import { getHeapStatistics } from 'node:v8';

/** Options of {@link BufferPressure}. */
export interface BufferPressureOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /** Size of all buffers of the process, those included that are released and not collected yet, in bytes. */
  readonly maxBytes: number;
  /** Returns that size; as V8 knows it by default. */
  readonly measureBytes?: () => number;
  /** Frees what is released. */
  readonly collect?: () => void;
  /** Frees what is released and was created a short while ago. */
  readonly collectYoung?: () => void;
}

/** The buffers are measured again after so many bytes. */
const measureIntervalBytes = bytesInMebibyte / 4;
/**
 * Time between two collections of everything, each of which stops the process for some 20 ms, in milliseconds: the shorter
 * one once so many bytes were received.
 */
const collectIntervalMs = { usual: 500, least: 50 } as const;
const collectIntervalBytes = 16 * bytesInMebibyte;
/** Between them, what is young is collected after so many bytes. */
const youngIntervalBytes = 8 * bytesInMebibyte;

/**
 * Knows whether the buffers of the process take too much of its memory.
 *
 * Guards against buffers of refused bodies: they are not free before they are collected, so that a crowd fills the memory
 * with them although few are held at a time.
 *
 * @example
 * if (pressure.isHighAfter(chunk.byteLength)) throw createOverloadedError();
 */
export class BufferPressure {
  readonly #options: Required<BufferPressureOptions>;
  #unmeasuredBytes = 0;
  #isHigh = false;
  #lastCollectMs = -Infinity;
  /** Bytes received since the last collection of everything, and of any kind. */
  #uncollectedBytes = 0;
  #youngBytes = 0;

  constructor(options: BufferPressureOptions) {
    this.#options = {
      measureBytes: () => getHeapStatistics().external_memory,
      collect: collectGarbage,
      collectYoung: collectYoungGarbage,
      ...options,
    };
  }

  /** Whether the buffers are too large, now that so many more bytes were received. */
  isHighAfter(bytes: number): boolean {
    this.#unmeasuredBytes += bytes;
    this.#uncollectedBytes += bytes;
    this.#youngBytes += bytes;
    if (this.#unmeasuredBytes < measureIntervalBytes && !this.#isHigh) return false;
    this.#unmeasuredBytes = 0;
    this.#isHigh = this.#isTooLarge;
    if (this.#isHigh) this.#collect();
    return this.#isHigh;
  }

  get #isTooLarge(): boolean {
    return this.#options.measureBytes() > this.#options.maxBytes;
  }

  #collect(): void {
    const isDue = this.#isCollectDue;
    if (!isDue && this.#youngBytes < youngIntervalBytes) return;
    this.#youngBytes = 0;
    if (isDue) this.#collectAll();
    else this.#options.collectYoung();
    this.#isHigh = this.#isTooLarge;
  }

  get #isCollectDue(): boolean {
    const elapsedMs = this.#options.clock.monotonicMs() - this.#lastCollectMs;
    const isMuch = this.#uncollectedBytes >= collectIntervalBytes;
    return elapsedMs >= (isMuch ? collectIntervalMs.least : collectIntervalMs.usual);
  }

  #collectAll(): void {
    this.#lastCollectMs = this.#options.clock.monotonicMs();
    this.#uncollectedBytes = 0;
    this.#options.collect();
  }
}
