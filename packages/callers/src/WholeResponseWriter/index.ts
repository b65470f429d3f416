import { bytesInMebibyte, RouterError } from '@acaciacrank/base';
import type { ServerResponse } from 'node:http';
import type { HeldBytes } from '../BodyMemory/index.js';
import { CallerWriter, type CallerWriterOptions } from '../CallerWriter/index.js';

/** Maximum size of a body that is held, in bytes. */
const maxHeldBytes = 4 * bytesInMebibyte;

/** Options of {@link WholeResponseWriter}. */
export interface WholeResponseWriterOptions extends CallerWriterOptions {
  /** Counts the memory of the body. */
  readonly held: HeldBytes;
}

/** The head of a response that is held. */
interface HeldHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/**
 * Holds what is written until the response ends, and writes it with its length.
 *
 * Guards against a part that looks like a whole: a caller of HTTP/1.0 does not support chunks, so that the end of the
 * connection would end the body, also where this process is killed.
 *
 * @example
 * const writer = new WholeResponseWriter(response, { clock, stallLimitMs, onStall, held });
 */
export class WholeResponseWriter extends CallerWriter {
  readonly #response: ServerResponse;
  readonly #held: HeldBytes;
  #head: HeldHead | undefined;
  #parts: Buffer[] = [];
  #bytes = 0;

  constructor(response: ServerResponse, options: WholeResponseWriterOptions) {
    super(response, options);
    this.#response = response;
    this.#held = options.held;
  }

  protected override writeHead(status: number, headers: readonly string[]): void {
    this.#head = { status, headers };
  }

  /**
   * Holds part of the body.
   *
   * @throws RouterError `upstreamFailed` if the body is too large to be held
   */
  override writeNow(part: string | Uint8Array): Promise<void> | undefined {
    if (this.#head === undefined || this.#response.headersSent) return super.writeNow(part);
    const bytes = Buffer.from(part);
    this.#bytes += bytes.byteLength;
    if (this.#bytes > maxHeldBytes)
      throw new RouterError('upstreamFailed', 'the stream is too large for a caller of HTTP/1.0');
    this.#held.addResponse(bytes.byteLength, this.#response);
    this.#parts.push(bytes);
    return undefined;
  }

  /** Writes what was held and ends the response. Another response, written with its own head, takes its place. */
  override async end(body: Uint8Array = new Uint8Array()): Promise<void> {
    const head = this.#response.headersSent ? undefined : this.#head;
    const isWhole = head === undefined || this.#parts.length === 0;
    const held = isWhole ? body : Buffer.concat([...this.#parts, body]);
    this.#parts = [];
    if (head !== undefined) {
      const length = ['content-length', String(held.byteLength)];
      this.#response.writeHead(head.status, [...head.headers, ...length]);
    }
    await super.end(held);
  }
}
