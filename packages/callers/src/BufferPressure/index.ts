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
/** Minimum time between two collections of everything, each of which stops the process for some 20 ms, in milliseconds. */
const minCollectIntervalMs = 500;
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
  #uncollectedBytes = 0;

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
    const { clock, collect, collectYoung } = this.#options;
    const nowMs = clock.monotonicMs();
    const isDue = nowMs - this.#lastCollectMs >= minCollectIntervalMs;
    if (!isDue && this.#uncollectedBytes < youngIntervalBytes) return;
    this.#uncollectedBytes = 0;
    if (isDue) this.#lastCollectMs = nowMs;
    if (isDue) collect();
    else collectYoung();
    this.#isHigh = this.#isTooLarge;
  }
}
