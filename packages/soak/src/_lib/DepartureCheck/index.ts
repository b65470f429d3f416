import type { InvariantName } from '../../types.js';

/** Options of {@link DepartureCheck}. */
export interface DepartureCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** How long an instance takes at most from accepting a request to sending it, in milliseconds. */
const maxHandlingMs = 100;

/** Where and when a caller sent its request. */
interface SentCall {
  readonly instance: number;
  readonly atMs: number;
}

/** A time for which an instance stood still. */
interface InstancePause {
  readonly instance: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether a request was excused for it. */
  isUsed: boolean;
}

/** From this time after a departure on, a request must not reach an upstream, in milliseconds. */
const maxLateMs = 500;

/**
 * Checks that no request reaches an upstream long after its caller has left, whatever the instance does meanwhile. The
 * way to an upstream that is disturbed excuses requests on it: what is on the wire nobody can call back. A pause excuses
 * one request that its instance was just handling: it may stop a process between its last look at the caller and the send.
 */
export class DepartureCheck {
  readonly #options: DepartureCheckOptions;
  readonly #leftAtMs = new Map<string, number>();
  readonly #sent = new Map<string, SentCall>();
  readonly #pauses: InstancePause[] = [];
  /** Before these times, what reaches an upstream may have been under way for long. */
  readonly #disturbedUntilMs = new Map<string, number>();

  constructor(options: DepartureCheckOptions) {
    this.#options = options;
  }

  /** Number of callers that have left. */
  get departureCount(): number {
    return this.#leftAtMs.size;
  }

  /** Records that a caller that will leave sends a request to an instance. */
  noteSent(id: string, instance: number): void {
    this.#sent.set(id, { instance, atMs: this.#options.now() });
  }

  /** Records that an instance stands still for a while. */
  noteInstancePause(instance: number, durationMs: number): void {
    const fromMs = this.#options.now();
    this.#pauses.push({ instance, fromMs, toMs: fromMs + durationMs, isUsed: false });
  }

  /** Records that the caller of a request has closed its connection. */
  noteDeparture(id: string): void {
    this.#leftAtMs.set(id, this.#options.now());
  }

  /** Records that the way to an upstream is disturbed for a while. */
  noteUpstreamDisturbance(upstream: string, durationMs: number): void {
    const untilMs = this.#options.now() + durationMs + maxLateMs;
    const knownMs = this.#disturbedUntilMs.get(upstream) ?? -Infinity;
    this.#disturbedUntilMs.set(upstream, Math.max(knownMs, untilMs));
  }

  /** Records that an upstream received a request. */
  noteArrival(upstream: string, id: string): void {
    const nowMs = this.#options.now();
    const lateMs = Math.round(nowMs - (this.#leftAtMs.get(id) ?? Infinity));
    if (lateMs <= maxLateMs || nowMs < (this.#disturbedUntilMs.get(upstream) ?? -Infinity)) return;
    if (this.#takeExcuse(id, nowMs)) return;
    const what = `${id} reached ${upstream} ${lateMs} ms after its caller had left`;
    this.#options.onViolation('departedCaller', what);
  }

  #takeExcuse(id: string, nowMs: number): boolean {
    const sent = this.#sent.get(id);
    if (sent === undefined) return false;
    const pause = this.#pauses.find(
      ({ instance, fromMs, toMs, isUsed }) =>
        !isUsed &&
        instance === sent.instance &&
        sent.atMs <= fromMs &&
        fromMs - sent.atMs <= maxHandlingMs &&
        nowMs - toMs <= maxLateMs,
    );
    if (pause === undefined) return false;
    pause.isUsed = true;
    return true;
  }
}
