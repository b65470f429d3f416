import { getOrCreate } from '@acaciacrank/base';
import type { InvariantName } from '../../types.js';
import { accounts, requestKinds, timeoutOf } from '../buildSoakConfiguration/index.js';
import type { ObservedCall } from '../Observations/index.js';

/** Options of {@link SoundAnswerCheck}. */
export interface SoundAnswerCheckOptions {
  /** Milliseconds from the start of the run. */
  readonly now: () => number;
  readonly onViolation: (invariant: InvariantName, what: string) => void;
  /** Whether no fault but pauses of upstreams was in force, and no upstream restricted, in a time span. */
  readonly isUndisturbedButForPauses: (fromMs: number, toMs: number) => boolean;
}

interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Where a request has been, as the upstreams saw it. */
interface SeenRequest {
  readonly upstreams: Set<string>;
  hasRun: boolean;
}

/** How long before its deadline an instance may answer that the deadline has passed, in milliseconds. */
const deadlineMarginMs = 100;
/** Outcomes by which an instance has ended a request without its answer. */
const endedOutcomes: ReadonlySet<string> = new Set(['cut', 'failed', 'refused']);
/** Statuses of requests for which no upstream was found, or none that answered. */
const unavailableStatuses: ReadonlySet<number> = new Set([502, 503]);
/** The account that has tokens for all that it requests; refusals of the others do not depend on a silence. */
const ampleAccount = accounts[0]?.name;

/**
 * Checks that no request at a sound upstream is ended by an instance before its deadline, and that requests which
 * arrive while all upstreams of their service are silent wait for these. An upstream is sound, also while it is
 * paused, unless it ended, its connections were lost, or it left; requests at an instance that ended are excused.
 */
export class SoundAnswerCheck {
  readonly #options: SoundAnswerCheckOptions;
  readonly #requests = new Map<string, SeenRequest>();
  readonly #upstreamFaults = new Map<string, TimeSpan[]>();
  readonly #instanceEnds = new Map<number, TimeSpan[]>();
  readonly #stops = new Map<number, TimeSpan[]>();
  readonly #silences = new Map<string, TimeSpan[]>();

  constructor(options: SoundAnswerCheckOptions) {
    this.#options = options;
  }

  /** Records that an upstream is not sound for a while: it ends, or loses its connections or what is sent on them. */
  noteUpstreamFault(upstream: string, durationMs: number, delayMs = 0): void {
    this.#addSpan(this.#upstreamFaults, upstream, delayMs, durationMs);
  }

  /** Records that the process of an instance ends, and when it serves again at the latest. */
  noteInstanceEnd(instance: number, durationMs: number, delayMs = 0): void {
    this.#addSpan(this.#instanceEnds, instance, delayMs, durationMs);
  }

  /** Records that an instance is stopping and refuses new requests until it has started again. */
  noteStop(instance: number, durationMs: number): void {
    this.#addSpan(this.#stops, instance, 0, durationMs);
  }

  /** Records that all upstreams of a service are paused. */
  noteServiceSilence(service: string, durationMs: number): void {
    this.#addSpan(this.#silences, service, 0, durationMs);
  }

  /** Records that an upstream received a request. */
  noteArrival(upstream: string, id: string): void {
    this.#requestOf(id).upstreams.add(upstream);
  }

  /** Records that an upstream runs a request. */
  noteRun(id: string): void {
    this.#requestOf(id).hasRun = true;
  }

  /** Checks how a request ended for its caller. */
  noteCallEnd(call: ObservedCall): void {
    if (!endedOutcomes.has(call.outcome)) return;
    const { id, path, instance, sentAtMs, endedAtMs } = call;
    const span = { fromMs: sentAtMs, toMs: endedAtMs };
    const tookMs = Math.round(endedAtMs - sentAtMs);
    if (tookMs >= timeoutOf(path) - deadlineMarginMs) return;
    if (overlaps(this.#instanceEnds.get(instance), span)) return;
    const ending = `${id} (${path}) ended at instance ${instance} after ${tookMs} ms: ${describe(call)}`;
    const { upstreams, hasRun } = this.#requestOf(id);
    const isSound = (upstream: string) => !overlaps(this.#upstreamFaults.get(upstream), span);
    if (hasRun && [...upstreams].every(isSound))
      this.#report(`${ending}, sound: ${[...upstreams].join(', ')}`);
    else if (this.#hadToWait(call)) this.#report(`${ending}, sent while its service was silent`);
  }

  /** Whether a request arrived while all of its service were silent and nothing else kept it from being served. */
  #hadToWait({ path, status, account, instance, sentAtMs, endedAtMs }: ObservedCall): boolean {
    if (!unavailableStatuses.has(status) || account !== ampleAccount) return false;
    const service = requestKinds.find((kind) => kind.path === path)?.service;
    if (service === undefined) return false;
    const silences = this.#silences.get(service);
    if (!overlaps(silences, { fromMs: sentAtMs, toMs: sentAtMs })) return false;
    if (overlaps(this.#stops.get(instance), { fromMs: sentAtMs, toMs: endedAtMs })) return false;
    return this.#options.isUndisturbedButForPauses(sentAtMs, endedAtMs);
  }

  #requestOf(id: string): SeenRequest {
    return getOrCreate(this.#requests, id, () => ({ upstreams: new Set(), hasRun: false }));
  }

  #addSpan<Key>(spans: Map<Key, TimeSpan[]>, key: Key, delayMs: number, durationMs: number): void {
    const fromMs = this.#options.now() + delayMs;
    getOrCreate(spans, key, () => []).push({ fromMs, toMs: fromMs + durationMs });
  }

  #report(what: string): void {
    this.#options.onViolation('soundAnswer', what);
  }
}

function overlaps(spans: readonly TimeSpan[] | undefined, { fromMs, toMs }: TimeSpan): boolean {
  return spans?.some((span) => span.fromMs <= toMs && span.toMs >= fromMs) ?? false;
}

function describe({ outcome, status, events }: ObservedCall): string {
  return `${outcome}, status ${status}, ${events} events`;
}
