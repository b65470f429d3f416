import { RouterError } from '@acaciacrank/base';
import { resultRanks, type Contender, type ResultRank, type Upstream } from '@acaciacrank/routing';
import type { EngineFrame } from '@acaciacrank/upstreams';

/** How an attempt began: with its first frame, or not at all. */
export type EngineStart =
  | { readonly kind: 'begun'; readonly first: IteratorResult<EngineFrame> }
  | { readonly kind: 'failed'; readonly error: unknown }
  | { readonly kind: 'superseded' };

/** Another engine has given its first frame before this one. */
export class SupersededError extends RouterError {
  constructor() {
    super('cancelled', 'another engine has answered first');
  }
}

/** One generation at one engine, which may run beside others of the same request until one has given a frame. */
export class EngineAttempt implements Contender<EngineStart> {
  readonly upstream: Upstream;
  readonly ended: Promise<EngineStart>;
  readonly #superseded = new AbortController();
  readonly #frames: AsyncIterator<EngineFrame>;

  /**
   * @param upstream - the engine
   * @param open - starts the generation, which ends when the signal is aborted
   */
  constructor(upstream: Upstream, open: (signal: AbortSignal) => AsyncIterable<EngineFrame>) {
    this.upstream = upstream;
    this.#frames = open(this.#superseded.signal)[Symbol.asyncIterator]();
    this.ended = this.#readFirst();
  }

  supersede(): void {
    this.#superseded.abort(new SupersededError());
  }

  /** Yields all frames of an attempt that has begun. */
  async *frames(first: IteratorResult<EngineFrame>): AsyncIterable<EngineFrame> {
    try {
      for (let result = first; result.done !== true; result = await this.#frames.next())
        yield result.value;
    } finally {
      await this.#frames.return?.();
    }
  }

  async #readFirst(): Promise<EngineStart> {
    try {
      const first = await this.#frames.next();
      if (!this.#superseded.signal.aborted) return { kind: 'begun', first };
      // It has begun at the same moment as the one that continues.
      await this.#frames.return?.();
      return { kind: 'superseded' };
    } catch (error) {
      return this.#superseded.signal.aborted ? { kind: 'superseded' } : { kind: 'failed', error };
    }
  }
}

/** How much a result says of the request. */
export function rankOfStart({ kind }: EngineStart): ResultRank {
  if (kind === 'begun') return resultRanks.final;
  return kind === 'failed' ? resultRanks.failure : resultRanks.superseded;
}
