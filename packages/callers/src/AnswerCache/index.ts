import {
  bytesInMebibyte,
  millisecondsInMinute,
  RouterError,
  type Clock,
  type RequestKey,
} from '@acaciacrank/base';
import type { SharedAnswer } from '../SharedAnswer/index.js';

/** Options of {@link AnswerCache}. */
export interface AnswerCacheOptions {
  clock: Clock;
  /** Maximum number of finished answers kept. */
  maxAnswers?: number;
  /** Maximum memory for finished answers, in bytes. */
  maxBytes?: number;
  /** How long a finished answer is kept, in milliseconds. */
  retentionMs?: number;
}

interface FinishedAnswer {
  readonly answer: SharedAnswer;
  /** When it finished, by the monotonic clock. */
  readonly atMs: number;
}

/**
 * This instance's answers by request key: those in progress, and the most recently finished.
 *
 * It avoids running a request again when it is retried at this instance. It is not authoritative:
 * at another instance, or after eviction, a retry runs again, and the ledger finds by the key that
 * it was already billed.
 */
export class AnswerCache {
  readonly #options: Required<AnswerCacheOptions>;
  readonly #running = new Map<RequestKey, SharedAnswer>();
  /** Ordered by the time at which they finished. */
  readonly #finished = new Map<RequestKey, FinishedAnswer>();
  #bytes = 0;
  #openCount = 0;

  constructor(options: AnswerCacheOptions) {
    this.#options = {
      maxAnswers: 1_000,
      maxBytes: 32 * bytesInMebibyte,
      retentionMs: 10 * millisecondsInMinute,
      ...options,
    };
  }

  /** Number of answers in progress, including those without a reader. */
  get openAnswers(): number {
    return this.#openCount;
  }

  /** Memory used by finished answers, in bytes. */
  get finishedBytes(): number {
    return this.#bytes;
  }

  /**
   * Returns the answer that a retry may read, if there is one.
   *
   * @throws RouterError `keyReused` if the key was used with another request body
   */
  find(key: RequestKey, digest: string): SharedAnswer | undefined {
    this.#evictExpired();
    const answer = this.#running.get(key) ?? this.#finished.get(key)?.answer;
    if (answer?.isJoinable !== true) return undefined;
    if (answer.digest === digest) return answer;
    throw new RouterError('keyReused', 'the idempotency key was used with another body');
  }

  /** Adds an answer that has just started. */
  add(key: RequestKey, answer: SharedAnswer): void {
    this.#running.set(key, answer);
    this.#openCount += 1;
    void answer.ended.then(() => {
      this.#openCount -= 1;
      if (this.#running.get(key) !== answer) return;
      this.#running.delete(key);
      if (answer.isComplete) this.#addFinished(key, answer);
    });
  }

  #addFinished(key: RequestKey, answer: SharedAnswer): void {
    this.#evict(key);
    this.#finished.set(key, { answer, atMs: this.#options.clock.monotonicMs() });
    this.#bytes += answer.bytes;
    const { maxAnswers, maxBytes } = this.#options;
    for (const oldest of this.#finished.keys()) {
      if (this.#finished.size <= maxAnswers && this.#bytes <= maxBytes) return;
      this.#evict(oldest);
    }
  }

  #evictExpired(): void {
    const expiredBeforeMs = this.#options.clock.monotonicMs() - this.#options.retentionMs;
    for (const [key, { atMs }] of this.#finished) {
      if (atMs > expiredBeforeMs) return;
      this.#evict(key);
    }
  }

  #evict(key: RequestKey): void {
    const entry = this.#finished.get(key);
    if (entry === undefined) return;
    this.#finished.delete(key);
    this.#bytes -= entry.answer.bytes;
  }
}
