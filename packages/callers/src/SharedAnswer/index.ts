import { RouterError, type Clock } from '@acaciacrank/base';
import { abortReason } from '../_lib/untilAborted/index.js';
import type { ChatFrame } from '../types.js';

/** Options of {@link SharedAnswer}. */
export interface SharedAnswerOptions {
  clock: Clock;
  /** Digest of the request that this answers. */
  digest: string;
  /**
   * Runs the request. `signal` is aborted when the answer has no reader left. `onGenerated` is
   * called when the whole answer has been generated and only the bill is missing.
   */
  produce: (signal: AbortSignal, onGenerated: () => void) => AsyncIterable<ChatFrame>;
  /** How long a started answer continues without a reader, in milliseconds. */
  lingerMs: () => number;
}

/** Memory per frame in addition to its text, in bytes; a conservative estimate. */
const frameOverheadBytes = 160;

/**
 * One answer, in progress or finished, that any number of callers can read from the beginning.
 *
 * It is buffered completely, as fast as the engine generates, so a caller that reads slowly does
 * not occupy an engine slot. Its size is bounded by the maximum number of tokens per answer.
 */
export class SharedAnswer {
  readonly digest: string;
  /** Resolves when the answer has completed or failed; never rejects. */
  readonly ended: Promise<void>;
  readonly #options: SharedAnswerOptions;
  readonly #frames: ChatFrame[] = [];
  readonly #abortController = new AbortController();
  readonly #waiters = new Set<() => void>();
  #error: Error | undefined;
  #isEnded = false;
  #isGenerated = false;
  #readers = 0;
  #lingerTimer: Disposable | undefined;
  #bytes = 0;

  constructor(options: SharedAnswerOptions) {
    this.#options = options;
    this.digest = options.digest;
    this.ended = this.#run();
  }

  /** Whether a caller may still join: the answer has neither failed nor been aborted. */
  get isJoinable(): boolean {
    return this.#error === undefined && !this.#abortController.signal.aborted;
  }

  /** Whether the whole answer has been generated; its bill may still be missing. */
  get isGenerated(): boolean {
    return this.#isGenerated;
  }

  /** Whether the answer ended with its final frame. */
  get isComplete(): boolean {
    return this.#isEnded && this.#error === undefined;
  }

  /** Estimated memory usage, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Yields the frames from the beginning, as they arrive.
   *
   * @param signal - aborted when this reader disconnects
   * @throws RouterError the signal's reason, `cancelled` if it has none, or the error that ended
   * the answer
   */
  async *read(signal: AbortSignal): AsyncIterable<ChatFrame> {
    this.#readers += 1;
    this.#lingerTimer?.[Symbol.dispose]();
    try {
      for (let nextIndex = 0; ;) {
        if (signal.aborted) throw abortReason(signal);
        const frame = this.#frames[nextIndex];
        if (frame !== undefined) {
          nextIndex += 1;
          yield frame;
        } else if (this.#error !== undefined) {
          throw this.#error;
        } else if (this.#isEnded) {
          return;
        } else {
          await this.#waitForChange(signal);
        }
      }
    } finally {
      this.#readers -= 1;
      if (this.#readers === 0) this.#handleNoReaders();
    }
  }

  async #run(): Promise<void> {
    const onGenerated = () => {
      this.#isGenerated = true;
    };
    try {
      for await (const frame of this.#options.produce(this.#abortController.signal, onGenerated)) {
        this.#frames.push(frame);
        this.#bytes += frameOverheadBytes + (frame.kind === 'token' ? 2 * frame.text.length : 0);
        this.#notifyWaiters();
      }
    } catch (error) {
      this.#error = error instanceof Error ? error : new Error(String(error));
    }
    this.#isEnded = true;
    this.#lingerTimer?.[Symbol.dispose]();
    this.#notifyWaiters();
  }

  /**
   * A caller whose connection broke usually retries soon with the same idempotency key, so an
   * answer that has started continues for `lingerMs`; one that is nearly done completes in that
   * time. An answer without a token is aborted at once, since nothing is lost.
   */
  #handleNoReaders(): void {
    // Billing continues without readers, and the answer stays available for a retry.
    if (this.#isEnded || this.#isGenerated) return;
    const lingerMs = this.#frames.length === 0 ? 0 : this.#options.lingerMs();
    if (lingerMs <= 0) this.#abort();
    else {
      this.#lingerTimer = this.#options.clock.schedule(lingerMs, () => {
        this.#abort();
      });
    }
  }

  #abort(): void {
    this.#abortController.abort(new RouterError('cancelled', 'the caller went away'));
  }

  #notifyWaiters(): void {
    for (const notify of [...this.#waiters]) notify();
  }

  #waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        this.#waiters.delete(done);
        signal.removeEventListener('abort', done);
        resolve();
      };
      this.#waiters.add(done);
      signal.addEventListener('abort', done, { once: true });
    });
  }
}
