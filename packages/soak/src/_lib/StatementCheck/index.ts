import { getOrCreate } from '@acaciacrank/base';
import type { InvariantName } from '../../types.js';

/** Options of {@link StatementCheck}. */
export interface StatementCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
}

/** A call that an instance was requested to forward. */
interface StartedCall {
  readonly instance: number;
  readonly sentAtMs: number;
  /** Upstreams that it reached, and whether each said that it leaves. */
  readonly reached: Map<string, boolean>;
}

/** A period in which an upstream accepts no requests from an instance. */
interface Backoff {
  readonly fromMs: number;
  readonly untilMs: number;
  arrived: number;
}

/** Time after a response was passed on within which its statement may still be ignored for new requests. */
const leavingDeadlineMs = 2_000;
/** Time after a refusal within which requests may still arrive. */
const backoffDeadlineMs = 500;
/** Number of requests that may arrive in the rest of a backoff. */
const maxArrivalsInBackoff = 2;

/**
 * Checks that each instance applies what an upstream stated in a response: that it is leaving, or that it
 * requests a backoff. An instance that was restarted or stood still is excused, and so is a disturbed
 * connection to the upstream; disturbances of the store excuse nothing.
 */
export class StatementCheck {
  readonly #options: StatementCheckOptions;
  readonly #calls = new Map<string, StartedCall>();
  /** When an instance passed on the first response that said so, by upstream and instance. */
  readonly #leavingToldMs = new Map<string, Map<number, number>>();
  readonly #backoffs = new Map<string, Map<number, Backoff[]>>();
  /** Before these times, statements may be lost. */
  readonly #instancesDisturbedUntilMs = new Map<number, number>();
  readonly #upstreamsDisturbedUntilMs = new Map<string, number>();

  constructor(options: StatementCheckOptions) {
    this.#options = options;
  }

  /** Records that a caller sends a request to an instance. */
  noteCallStart(id: string, instance: number): void {
    this.#calls.set(id, { instance, sentAtMs: this.#options.now(), reached: new Map() });
  }

  /** Records that an upstream received a request, and checks what it has asked of the instance before. */
  noteArrival(upstream: string, id: string, isLeaving: boolean): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    call.reached.set(upstream, isLeaving);
    this.#checkLeaving(upstream, id, call);
    this.#checkBackoff(upstream, id, call);
  }

  /** Records that an upstream refuses a request and asks the instance for a backoff. */
  noteBackoff(upstream: string, id: string, durationMs: number): void {
    const call = this.#calls.get(id);
    if (call === undefined || this.#isDisturbed(upstream, call.instance)) return;
    const nowMs = this.#options.now();
    const byInstance = getOrCreate(this.#backoffs, upstream, () => new Map<number, Backoff[]>());
    const backoffs = getOrCreate(byInstance, call.instance, () => []);
    backoffs.push({ fromMs: nowMs + backoffDeadlineMs, untilMs: nowMs + durationMs, arrived: 0 });
  }

  /**
   * Records that a caller has its response. Only of a call that reached a single upstream is it known which
   * response that was.
   */
  noteCallEnd(id: string, isServed: boolean): void {
    const call = this.#calls.get(id);
    this.#calls.delete(id);
    if (call === undefined || !isServed || call.reached.size !== 1) return;
    const { instance } = call;
    for (const [upstream, isLeaving] of call.reached) {
      if (!isLeaving || this.#isDisturbed(upstream, instance)) continue;
      const told = getOrCreate(this.#leavingToldMs, upstream, () => new Map<number, number>());
      if (!told.has(instance)) told.set(instance, this.#options.now());
    }
  }

  /** Records that an instance is restarted or stands still; it may have lost the statements received until then. */
  noteInstanceDisturbance(instance: number, durationMs: number): void {
    const untilMs = this.#options.now() + durationMs;
    extend(this.#instancesDisturbedUntilMs, instance, untilMs);
    for (const told of this.#leavingToldMs.values()) told.delete(instance);
    for (const byInstance of this.#backoffs.values()) byInstance.delete(instance);
  }

  /** Records that the connections to an upstream are disturbed, so that responses may be lost. */
  noteUpstreamDisturbance(upstream: string, durationMs: number): void {
    extend(this.#upstreamsDisturbedUntilMs, upstream, this.#options.now() + durationMs);
    this.#leavingToldMs.delete(upstream);
    this.#backoffs.delete(upstream);
  }

  /** Number of upstreams that wanted nothing from some instance in a time span. */
  countOverloaded(fromMs: number, toMs: number): number {
    const isOverloaded = ({ fromMs: startMs, untilMs }: Backoff) =>
      startMs - backoffDeadlineMs <= toMs && untilMs >= fromMs;
    return [...this.#backoffs.values()].filter((byInstance) =>
      [...byInstance.values()].flat().some(isOverloaded),
    ).length;
  }

  #checkLeaving(upstream: string, id: string, { instance, sentAtMs }: StartedCall): void {
    const toldMs = this.#leavingToldMs.get(upstream)?.get(instance);
    if (toldMs === undefined || sentAtMs <= toldMs + leavingDeadlineMs) return;
    const lateMs = Math.round(sentAtMs - toldMs);
    const what = `${id}, sent ${lateMs} ms after instance ${instance} passed on that ${upstream} leaves, reached it`;
    this.#options.onViolation('statedLeaving', what);
  }

  #checkBackoff(upstream: string, id: string, { instance }: StartedCall): void {
    const nowMs = this.#options.now();
    for (const backoff of this.#backoffs.get(upstream)?.get(instance) ?? []) {
      if (nowMs < backoff.fromMs || nowMs > backoff.untilMs) continue;
      backoff.arrived += 1;
      if (backoff.arrived <= maxArrivalsInBackoff) continue;
      const what = `${id} is request ${backoff.arrived} of instance ${instance} to ${upstream} within its backoff`;
      this.#options.onViolation('statedBackoff', what);
    }
  }

  #isDisturbed(upstream: string, instance: number): boolean {
    const nowMs = this.#options.now();
    return (
      nowMs < (this.#instancesDisturbedUntilMs.get(instance) ?? 0) ||
      nowMs < (this.#upstreamsDisturbedUntilMs.get(upstream) ?? 0)
    );
  }
}

function extend<Key>(times: Map<Key, number>, key: Key, untilMs: number): void {
  times.set(key, Math.max(untilMs, times.get(key) ?? 0));
}
