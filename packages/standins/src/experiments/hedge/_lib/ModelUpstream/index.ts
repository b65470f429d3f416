import type { UpstreamId } from '@acaciacrank/base';

/** What happens to an upstream: it is silent and continues, its connections are reset, or its packets are dropped for good. */
export type ModelFault =
  | { readonly kind: 'silence'; readonly durationMs: number }
  | { readonly kind: 'reset' }
  | { readonly kind: 'drop' };

/** An upstream that sends events in time unless a fault keeps them back. */
export class ModelUpstream {
  readonly id: UpstreamId;
  #silentUntilMs = -Infinity;
  #isAffected = false;

  constructor(id: UpstreamId) {
    this.id = id;
  }

  /** Whether the fault has begun here. */
  get isAffected(): boolean {
    return this.#isAffected;
  }

  /** Begins the fault; that connections are reset is up to the instances. */
  begin(fault: ModelFault, nowMs: number): void {
    this.#isAffected = true;
    if (fault.kind === 'silence') this.#silentUntilMs = nowMs + fault.durationMs;
    if (fault.kind === 'drop') this.#silentUntilMs = Infinity;
  }

  /** How long something that it sends now is kept back, in milliseconds; infinite for good. */
  holdMs(nowMs: number): number {
    return Math.max(0, this.#silentUntilMs - nowMs);
  }
}
