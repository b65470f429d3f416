/**
 * Writes responses with backpressure and a stall timeout.
 */
import type { Clock } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';

/** Options of {@link CallerWriter}. */
export interface CallerWriterOptions {
  clock: Clock;
  /** How long a caller may read nothing while data is pending, in milliseconds. */
  stallLimitMs: number;
  /** Called once when the connection is closed because the caller stalled. */
  onStall: () => void;
  /** Called when the caller has read some of what was pending. */
  onRead?: () => void;
}

/** Bodies are written in chunks of this size, so that each chunk read counts as progress. */
const chunkBytes = 65_536;

/**
 * Waits for the caller after each write, and closes the connection if the caller reads nothing for
 * too long. Otherwise a caller that stopped reading, or whose connection is dead, would keep the
 * response in memory until the operating system notices, if ever.
 */
export class CallerWriter {
  readonly #response: ServerResponse;
  readonly #options: CallerWriterOptions;
  #hasHead = false;

  constructor(response: ServerResponse, options: CallerWriterOptions) {
    this.#response = response;
    this.#options = options;
  }

  /** Writes the head of a response whose body follows in parts, unless it has been written. */
  begin(status: number, headers: readonly string[]): void {
    if (this.#hasHead) return;
    this.#hasHead = true;
    this.writeHead(status, headers);
  }

  /** Writes the head. Callers of HTTP/1.1 get chunks then, the last of which says that the body is whole. */
  protected writeHead(status: number, headers: readonly string[]): void {
    this.#response.writeHead(status, [...headers]);
  }

  /** Writes part of the response; resolves when more can be written or the connection is closed. */
  async write(part: string | Uint8Array): Promise<void> {
    await this.writeNow(part);
  }

  /**
   * Writes part of the response.
   *
   * @returns undefined if more can be written at once or the connection is closed, otherwise a promise to
   * wait for
   */
  writeNow(part: string | Uint8Array): Promise<void> | undefined {
    if (this.#response.destroyed || this.#response.write(part)) return undefined;
    return this.#waitForProgress('drain');
  }

  /** Writes a whole body and ends the response. */
  async end(body: Uint8Array = new Uint8Array()): Promise<void> {
    for (let start = 0; start < body.byteLength; start += chunkBytes) {
      if (this.#response.destroyed) return;
      await this.write(body.subarray(start, start + chunkBytes));
    }
    if (this.#response.destroyed) return;
    this.#response.end();
    if (!this.#response.writableFinished) await this.#waitForProgress('finish');
  }

  async #waitForProgress(event: 'drain' | 'finish'): Promise<void> {
    const { clock, stallLimitMs, onStall, onRead } = this.#options;
    const response = this.#response;
    await new Promise<void>((resolve) => {
      const done = () => {
        timer[Symbol.dispose]();
        response.off(event, recordRead);
        response.off('close', done);
        resolve();
      };
      const recordRead = () => {
        onRead?.();
        done();
      };
      const timer = clock.schedule(stallLimitMs, () => {
        onStall();
        response.destroy();
        done();
      });
      response.once(event, recordRead);
      response.once('close', done);
    });
  }
}
