/**
 * Writes to a caller at the pace that it reads, and not for ever.
 */
import type { Clock } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';

/** Options of {@link CallerWriter}. */
export interface CallerWriterOptions {
  clock: Clock;
  /** How long a caller may read nothing while something waits for it, in milliseconds. */
  stallLimitMs: number;
  /** Called once when the caller is given up. */
  onStall: () => void;
}

/** A body is written in pieces of this size, so that each piece read is progress. */
const pieceBytes = 65_536;

/**
 * Waits for the caller after each write, and closes its connection when it reads nothing for too
 * long: one that stopped reading, or whose connection went silent, would otherwise hold the answer
 * in memory until the operating system notices, if ever.
 */
export class CallerWriter {
  readonly #response: ServerResponse;
  readonly #options: CallerWriterOptions;

  constructor(response: ServerResponse, options: CallerWriterOptions) {
    this.#response = response;
    this.#options = options;
  }

  /** Writes a part; resolves when the caller may be sent more, or is gone. */
  async write(part: string | Uint8Array): Promise<void> {
    if (this.#response.destroyed || this.#response.write(part)) return;
    await this.#progress('drain');
  }

  /** Writes a whole body and ends the answer. */
  async end(body: Uint8Array = new Uint8Array()): Promise<void> {
    for (let start = 0; start < body.byteLength; start += pieceBytes) {
      if (this.#response.destroyed) return;
      await this.write(body.subarray(start, start + pieceBytes));
    }
    if (this.#response.destroyed) return;
    this.#response.end();
    if (!this.#response.writableFinished) await this.#progress('finish');
  }

  async #progress(event: 'drain' | 'finish'): Promise<void> {
    const { clock, stallLimitMs, onStall } = this.#options;
    const response = this.#response;
    await new Promise<void>((resolve) => {
      const done = () => {
        timer[Symbol.dispose]();
        response.off(event, done);
        response.off('close', done);
        resolve();
      };
      const timer = clock.schedule(stallLimitMs, () => {
        onStall();
        response.destroy();
        done();
      });
      response.once(event, done);
      response.once('close', done);
    });
  }
}
