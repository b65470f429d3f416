import type { ManualClock } from '@acaciacrank/base';

/** The upstreams that a pause affects, by what instances call them for. */
export type PausedPeer = 'engine' | 'service' | 'all';

/** A call that may go to a paused upstream. */
export interface PausableCall<Value> {
  /** The called operation, for example `engine.frame`. */
  readonly call: string;
  readonly isPlatform: boolean;
  readonly effect: () => Promise<Value>;
  readonly lostResponseError: () => Error;
  readonly signal?: AbortSignal;
}

/**
 * A pause of upstreams that ends: their connections stay open, nothing is read or written, then all continues. Unlike
 * a connection that is silent for good, it loses nothing: what was sent meanwhile arrives, given up or not.
 */
export class UpstreamPause {
  readonly #clock: ManualClock;
  readonly #untilMs = new Map<PausedPeer, number>();

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** Begins a pause, or extends it. */
  begin(durationMs: number, peer: PausedPeer): void {
    const untilMs = this.#clock.monotonicMs() + durationMs;
    this.#untilMs.set(peer, Math.max(untilMs, this.#untilMs.get(peer) ?? 0));
  }

  /** Performs a call once its upstream reads again, and returns once the upstream writes again. */
  async call<Value>(pausable: PausableCall<Value>): Promise<Value> {
    if (this.#remainingMs(pausable) <= 0) return this.#deliver(pausable, await pausable.effect());
    await this.#whenResumed(pausable, () => {
      // What was sent arrives although the sender has given it up.
      void this.#whenResumed({ ...pausable, signal: undefined })
        .then(pausable.effect)
        .catch(() => undefined);
    });
    return this.#deliver(pausable, await pausable.effect());
  }

  async #deliver<Value>(pausable: PausableCall<Value>, value: Value): Promise<Value> {
    await this.#whenResumed(pausable);
    return value;
  }

  /** @throws the error of a lost response if the call is aborted before */
  async #whenResumed(
    pausable: Omit<PausableCall<unknown>, 'signal'> & { readonly signal?: AbortSignal | undefined },
    onGivenUp: () => void = () => undefined,
  ): Promise<void> {
    const { signal, lostResponseError } = pausable;
    for (;;) {
      const remainingMs = this.#remainingMs(pausable);
      if (remainingMs <= 0) return;
      if (signal?.aborted === true) {
        onGivenUp();
        throw lostResponseError();
      }
      await this.#clock.sleep(remainingMs, signal);
    }
  }

  #remainingMs({ call, isPlatform }: { readonly call: string; readonly isPlatform: boolean }) {
    if (isPlatform) return 0;
    const [peer] = call.split('.') as [PausedPeer];
    const untilMs = Math.max(this.#untilMs.get(peer) ?? 0, this.#untilMs.get('all') ?? 0);
    return untilMs - this.#clock.monotonicMs();
  }
}
