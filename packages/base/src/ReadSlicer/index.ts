import type { Socket } from 'node:net';
import type { Clock } from '../Clock/index.js';
import { collectGarbage } from '../collectGarbage/index.js';
import { bytesInMebibyte } from '../constants/index.js';

/** Options of {@link ReadSlicer}. */
export interface ReadSlicerOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /** Size of all that was read and is not parsed, in bytes. */
  readonly maxUnparsedBytes: number;
  /** Called with a connection that goes past it. */
  readonly onExcess: (socket: Socket) => void;
}

/** Size of what the parser gets at a time, in bytes. */
const sliceBytes = 4_096;
/** Each read has a buffer of its own then, in bytes: they are collected after so many, not more often than the interval. */
const collecting = { afterBytes: 8 * bytesInMebibyte, minIntervalMs: 500 } as const;
/** How long slices are handed out in one turn of the event loop, in milliseconds. */
const maxTurnMs = 5;
/** How long reads are sliced after the last expensive one, in milliseconds. */
const activeMs = 10_000;

/**
 * Hands what is read from connections to the parser in slices, one a turn of the event loop.
 *
 * Guards against reads that keep all other callers waiting: 64 KiB of chunks of one byte take over 20 ms, and a crowd sends
 * such a read on each connection. A slice shows what a client sends, so that it can be refused. Reads are sliced only for a
 * while after an expensive one, since each costs a little more then.
 *
 * @example
 * slicer.begin(idleSockets);
 * if (slicer.isActive) slicer.slice(socket);
 */
export class ReadSlicer {
  readonly #options: ReadSlicerOptions;
  readonly #sliced = new WeakSet<Socket>();
  #untilMs = -Infinity;
  #unparsedBytes = 0;
  #uncollectedBytes = 0;
  #collectedMs = -Infinity;
  /** What hands out the next slice of each connection with any, in turn. */
  #passes: (() => void)[] = [];

  constructor(options: ReadSlicerOptions) {
    this.#options = options;
  }

  /** Whether new connections are to be sliced. */
  get isActive(): boolean {
    return this.#options.clock.monotonicMs() < this.#untilMs;
  }

  /**
   * Begins to slice for a while, since a read was expensive.
   *
   * @param waiting - the connections of which nothing is being parsed
   */
  begin(waiting: Iterable<Socket>): void {
    const wasActive = this.isActive;
    this.#untilMs = this.#options.clock.monotonicMs() + activeMs;
    if (wasActive) return;
    for (const socket of waiting) this.slice(socket);
  }

  /** Slices what is read from a connection from now on. */
  slice(socket: Socket): void {
    if (this.#sliced.has(socket)) return;
    this.#sliced.add(socket);
    const push = socket.push.bind(socket);
    let waiting: Buffer = Buffer.alloc(0);
    let isQueued = false;
    let hasEnded = false;
    const setWaiting = (bytes: Buffer) => {
      this.#unparsedBytes += bytes.byteLength - waiting.byteLength;
      waiting = bytes;
    };
    const enqueue = () => {
      if (isQueued || waiting.byteLength === 0) return;
      isQueued = true;
      this.#enqueue(pass);
    };
    const pass = () => {
      isQueued = false;
      if (socket.destroyed || socket.isPaused()) return;
      const slice = waiting.subarray(0, sliceBytes);
      setWaiting(waiting.subarray(sliceBytes));
      push(slice);
      enqueue();
      if (hasEnded && waiting.byteLength === 0) push(null);
    };
    const hold = (bytes: Buffer) => {
      setWaiting(waiting.byteLength === 0 ? bytes : Buffer.concat([waiting, bytes]));
      if (this.#unparsedBytes > this.#options.maxUnparsedBytes) this.#options.onExcess(socket);
      enqueue();
      return false;
    };
    const read = socket._read.bind(socket);
    // Nothing more is read before the last slice was handed out.
    socket._read = (size) => {
      if (waiting.byteLength === 0) read(size);
    };
    socket.push = (bytes: Buffer | null) => {
      if (bytes === null) {
        hasEnded = true;
        return waiting.byteLength > 0 ? false : push(null);
      }
      this.#countRead(bytes.byteLength);
      if (waiting.byteLength > 0) return hold(bytes);
      if (bytes.byteLength <= sliceBytes) return push(bytes);
      push(bytes.subarray(0, sliceBytes));
      return hold(bytes.subarray(sliceBytes));
    };
    socket.on('resume', enqueue);
    socket.once('close', () => {
      setWaiting(Buffer.alloc(0));
    });
    // With a listener the bytes come this way; the parser reads from the handle itself otherwise.
    socket.on('data', () => undefined);
  }

  #countRead(bytes: number): void {
    this.#uncollectedBytes += bytes;
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#uncollectedBytes < collecting.afterBytes) return;
    if (nowMs - this.#collectedMs < collecting.minIntervalMs) return;
    this.#uncollectedBytes = 0;
    this.#collectedMs = nowMs;
    collectGarbage();
  }

  #enqueue(pass: () => void): void {
    this.#passes.push(pass);
    if (this.#passes.length === 1)
      setImmediate(() => {
        this.#handOut();
      });
  }

  #handOut(): void {
    const { clock } = this.#options;
    const endMs = clock.monotonicMs() + maxTurnMs;
    let next = 0;
    const passes = this.#passes;
    this.#passes = [];
    while (next < passes.length && clock.monotonicMs() < endMs) {
      passes[next]?.();
      next += 1;
    }
    const isScheduled = this.#passes.length > 0;
    this.#passes = [...passes.slice(next), ...this.#passes];
    if (!isScheduled && this.#passes.length > 0)
      setImmediate(() => {
        this.#handOut();
      });
  }
}
