import { bytesInMebibyte, collectGarbage, type Clock } from '@acaciacrank/base';
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
}

/** The buffers are measured again after so many bytes. */
const measureIntervalBytes = bytesInMebibyte / 4;
/** Minimum time between two collections, each of which stops the process for some 20 ms, in milliseconds. */
const minCollectIntervalMs = 500;

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

  constructor(options: BufferPressureOptions) {
    this.#options = {
      measureBytes: () => getHeapStatistics().external_memory,
      collect: collectGarbage,
      ...options,
    };
  }

  /** Whether the buffers are too large, now that so many more bytes were received. */
  isHighAfter(bytes: number): boolean {
    this.#unmeasuredBytes += bytes;
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
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#lastCollectMs < minCollectIntervalMs) return;
    this.#lastCollectMs = nowMs;
    this.#options.collect();
    this.#isHigh = this.#isTooLarge;
  }
}
