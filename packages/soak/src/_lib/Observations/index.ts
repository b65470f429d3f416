import type { InvariantName, Violation } from '../../types.js';
import { accounts, movedRouteService, tokensPerEvent } from '../buildSoakConfiguration/index.js';
import { bounds, soakMachine, toleranceMs } from '../InstanceProcess/index.js';
import { MachineCheck } from '../MachineCheck/index.js';
import { LimitCheck } from '../LimitCheck/index.js';
import { DeadlyCheck } from '../DeadlyCheck/index.js';
import { DeadlyPartCheck } from '../DeadlyPartCheck/index.js';
import { BrittleCheck } from '../BrittleCheck/index.js';
import { ReachCheck } from '../ReachCheck/index.js';
import { VersionCheck } from '../VersionCheck/index.js';
import { DepartureCheck } from '../DepartureCheck/index.js';
import { SoundAnswerCheck } from '../SoundAnswerCheck/index.js';
import { StatementCheck } from '../StatementCheck/index.js';
import { DirectoryCheck } from '../DirectoryCheck/index.js';

/**
 * How one request ended for its caller: with a success, a refusal, no tokens left in the client account
 * (`spent`), a refusal since upstreams ended while they ran it, another status, or a connection that failed before the end of the response (`cut`).
 */
export type CallOutcome = 'served' | 'refused' | 'spent' | 'quarantined' | 'failed' | 'cut';

/** A request and its result as its caller observed them. */
export interface ObservedCall {
  readonly id: string;
  readonly path: string;
  readonly isRepeatable: boolean;
  readonly account: string;
  readonly instance: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: CallOutcome;
  /** HTTP status; 0 if the connection failed before the response. */
  readonly status: number;
  /** Service that sent the response; empty if the response does not show it. */
  readonly service: string;
  /** What was wrong with a successful response; empty if nothing was. */
  readonly problem: string;
  /** Number of stream events in the response. */
  readonly events: number;
}

/** How often upstreams ran a request, and what it costs. */
interface UpstreamRuns {
  count: number;
  readonly account: string;
  readonly promptTokens: number;
}

interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time after the acknowledgement of a configuration within which it must be in force. */
const configurationDeadlineMs = 2_000;
/** Time after which an upstream that is draining must receive no new requests. */
const drainDeadlineMs = 2_000;
/** Minimum share of requests served while no fault is active. */
const minServedShare = 0.5;
/** Number of undisturbed requests below which that share is not significant. */
const minUndisturbedCalls = 40;
/**
 * Requests made while more upstreams have a limit or are overloaded are not counted, since a service may have no
 * other upstream.
 */
const maxRestrictedUpstreams = 1;

/** Collects what callers and upstreams observe in a run, and checks the invariants. */
export class Observations {
  readonly calls: ObservedCall[] = [];
  readonly violations: Violation[] = [];
  readonly directoryCheck: DirectoryCheck;
  readonly limits: LimitCheck;
  readonly statements: StatementCheck;
  readonly deadly: DeadlyCheck;
  readonly deadlyParts: DeadlyPartCheck;
  readonly reach: ReachCheck;
  readonly brittle: BrittleCheck;
  readonly versions: VersionCheck;
  readonly soundAnswers: SoundAnswerCheck;
  readonly machines: MachineCheck;
  readonly departures: DepartureCheck;
  readonly #now: () => number;
  readonly #runs = new Map<string, UpstreamRuns>();
  readonly #refusedAtMs = new Map<string, number>();
  readonly #configurations: { readonly version: number; readonly acknowledgedAtMs: number }[] = [];
  readonly #disturbances: (TimeSpan & { readonly isUpstreamPause: boolean })[] = [];
  readonly #stops: (TimeSpan & { readonly instance: number })[] = [];
  readonly #arrivals: {
    readonly service: string;
    readonly atMs: number;
    readonly isFirst: boolean;
  }[] = [];
  readonly #eventsByAccount = new Map<string, number>();

  /** @param now - milliseconds from the start of the run */
  constructor(now: () => number) {
    this.#now = now;
    const onViolation = (invariant: InvariantName, what: string) => {
      this.#addViolation(invariant, what);
    };
    this.machines = new MachineCheck({ machine: soakMachine, onViolation });
    this.departures = new DepartureCheck({ now, onViolation });
    this.directoryCheck = new DirectoryCheck({ now, onViolation });
    this.limits = new LimitCheck({ now, onViolation });
    this.statements = new StatementCheck({ now, onViolation });
    this.deadly = new DeadlyCheck({ onViolation });
    this.deadlyParts = new DeadlyPartCheck({ now, onViolation });
    this.reach = new ReachCheck({ now, onViolation });
    this.brittle = new BrittleCheck({ now, onViolation });
    const isUndisturbed = (fromMs: number, toMs: number) => this.#isUndisturbed(fromMs, toMs);
    this.versions = new VersionCheck({ onViolation, isUndisturbed });
    const isUndisturbedButForPauses = (fromMs: number, toMs: number) =>
      this.#isUndisturbed(fromMs, toMs, true) && this.#countRestricted(fromMs, toMs) === 0;
    this.soundAnswers = new SoundAnswerCheck({ now, onViolation, isUndisturbedButForPauses });
  }

  /** Records a fault. Invariants with a time limit are not checked during it and for `stableWindowMs` after it. */
  noteDisturbance(durationMs: number, isUpstreamPause = false): void {
    const fromMs = this.#now();
    const toMs = fromMs + durationMs + bounds.stableWindowMs;
    this.#disturbances.push({ fromMs, toMs, isUpstreamPause });
  }

  /** Records for the checks of single upstreams that responses of one may be late or lost. */
  noteUpstreamDisturbance(upstream: string, durationMs: number): void {
    this.limits.noteDisturbance(upstream, durationMs);
    this.departures.noteUpstreamDisturbance(upstream, durationMs);
    this.statements.noteUpstreamDisturbance(upstream, durationMs);
  }

  /** Records that the graceful shutdown of an instance was requested. */
  noteStop(instance: number, limitMs: number): void {
    const nowMs = this.#now();
    this.#stops.push({ instance, fromMs: nowMs, toMs: nowMs + limitMs });
  }

  /** Records that the store has acknowledged a configuration. */
  noteAcknowledgement(version: number): void {
    this.#configurations.push({ version, acknowledgedAtMs: this.#now() });
  }

  /** Records that an upstream received a request. */
  noteArrival(service: string, id: string, drainingSinceMs: number | undefined): void {
    const nowMs = this.#now();
    this.#arrivals.push({ service, atMs: nowMs, isFirst: !this.#runs.has(id) });
    if (drainingSinceMs === undefined || nowMs < drainingSinceMs + drainDeadlineMs + toleranceMs)
      return;
    if (this.#isUndisturbed(drainingSinceMs, nowMs)) {
      this.#addViolation(
        'leavingUpstream',
        `${id} arrived ${nowMs - drainingSinceMs} ms after the upstream began to drain`,
      );
    }
  }

  /** Records that an upstream ran a request. */
  noteRun(id: string, isRepeatable: boolean, account: string, promptTokens: number): void {
    const runs = this.#runs.get(id) ?? { count: 0, account, promptTokens };
    runs.count += 1;
    this.#runs.set(id, runs);
    this.soundAnswers.noteRun(id);
    if (runs.count > 1 && !isRepeatable)
      this.#addViolation('atMostOnce', `${id} ran ${runs.count} times`);
    if (this.#refusedAtMs.has(id))
      this.#addViolation('trueRefusal', `${id} ran after it was refused`);
    if (runs.count === 1) this.#checkPrepaid(account);
  }

  /** Records how a request ended for its caller. */
  noteCallEnd(call: ObservedCall): void {
    this.calls.push(call);
    this.soundAnswers.noteCallEnd(call);
    this.statements.noteCallEnd(call.id, call.outcome === 'served');
    this.#eventsByAccount.set(
      call.account,
      (this.#eventsByAccount.get(call.account) ?? 0) + call.events,
    );
    this.#checkPrepaid(call.account);
    if (call.outcome === 'quarantined')
      this.#addViolation('queryOfDeath', `${call.id} is in quarantine, but ends no upstream`);
    if (call.problem !== '') this.#addViolation('wholeAnswer', `${call.id}: ${call.problem}`);
    if (call.outcome === 'refused' && !call.isRepeatable) {
      this.#refusedAtMs.set(call.id, call.endedAtMs);
      if (this.#runs.has(call.id))
        this.#addViolation('trueRefusal', `${call.id} ran and was refused`);
    }
    if (call.path === '/moved/' && call.outcome === 'served') this.#checkConfiguration(call);
    if (call.outcome === 'cut') this.#checkStop(call);
  }

  /** Checks the invariants that apply to the run as a whole. */
  finish(): void {
    this.deadly.finish(this.calls);
    this.deadlyParts.finish(this.calls);
    this.reach.finish(this.calls);
    this.brittle.finish();
    this.versions.finish();
    for (const service of new Set(this.#arrivals.map((arrival) => arrival.service))) {
      this.#checkRetries(service);
    }
    const undisturbed = this.calls.filter(
      ({ sentAtMs, endedAtMs, outcome }) =>
        outcome !== 'spent' &&
        this.#isUndisturbed(sentAtMs, endedAtMs) &&
        this.#countRestricted(sentAtMs, endedAtMs) <= maxRestrictedUpstreams,
    );
    const served = undisturbed.filter(({ outcome }) => outcome === 'served').length;
    if (undisturbed.length >= minUndisturbedCalls && served < minServedShare * undisturbed.length) {
      this.#addViolation(
        'served',
        `${served} of ${undisturbed.length} requests were served while no fault was active`,
      );
    }
  }

  /** Number of upstreams that had a limit or were overloaded at some point in a time span. */
  #countRestricted(fromMs: number, toMs: number): number {
    return this.limits.countLimited(fromMs, toMs) + this.statements.countOverloaded(fromMs, toMs);
  }

  #checkPrepaid(name: string): void {
    const account = accounts.find((entry) => entry.name === name);
    if (account === undefined) return;
    let spentTokens = (this.#eventsByAccount.get(name) ?? 0) * tokensPerEvent;
    for (const runs of this.#runs.values())
      if (runs.account === name) spentTokens += runs.promptTokens;
    if (spentTokens > account.prepaidTokens) {
      this.#addViolation(
        'prepaid',
        `${name} spent ${spentTokens} of ${account.prepaidTokens} tokens`,
      );
    }
  }

  /**
   * Checks that a request used a version that may have been in force: the newest one whose deadline had
   * passed when the request was sent, or a later one that was acknowledged before the request ended.
   */
  #checkConfiguration({ id, sentAtMs, endedAtMs, service }: ObservedCall): void {
    const enforced = this.#configurations.filter(
      ({ acknowledgedAtMs }) =>
        acknowledgedAtMs + configurationDeadlineMs + toleranceMs <= sentAtMs,
    );
    const oldest = enforced.at(-1);
    if (oldest === undefined || !this.#isUndisturbed(oldest.acknowledgedAtMs, endedAtMs)) return;
    const allowed = this.#configurations.filter(
      ({ version, acknowledgedAtMs }) => version >= oldest.version && acknowledgedAtMs <= endedAtMs,
    );
    if (allowed.some(({ version }) => movedRouteService(version) === service)) return;
    this.#addViolation(
      'configuration',
      `${id} went to ${service}, but version ${oldest.version} is in force`,
    );
  }

  #checkStop({ id, instance, sentAtMs, endedAtMs }: ObservedCall): void {
    const stop = this.#stops.find(
      (entry) =>
        entry.instance === instance && entry.fromMs <= endedAtMs && endedAtMs <= entry.toMs,
    );
    if (stop === undefined || !this.#isUndisturbed(Math.min(sentAtMs, stop.fromMs), endedAtMs))
      return;
    this.#addViolation(
      'plannedStop',
      `${id} was cut off ${endedAtMs - stop.fromMs} ms after the graceful shutdown began`,
    );
  }

  /** Checks the retries in each window against the first attempts in that window and the one before it. */
  #checkRetries(service: string): void {
    const arrivals = this.#arrivals.filter((arrival) => arrival.service === service);
    for (const { atMs: endMs } of arrivals) {
      const inWindow = arrivals.filter(
        ({ atMs }) => atMs <= endMs && atMs > endMs - bounds.budgetWindowMs,
      );
      const retries = inWindow.filter(({ isFirst }) => !isFirst).length;
      const firstAttempts = arrivals.filter(
        ({ atMs, isFirst }) => isFirst && atMs <= endMs && atMs > endMs - 2 * bounds.budgetWindowMs,
      ).length;
      const allowed = bounds.budgetRatio * firstAttempts + bounds.budgetSlack;
      if (retries <= allowed) continue;
      this.#addViolation(
        'retryBudget',
        `${service} received ${retries} retries in a window; first attempts in it and the window before it: ${firstAttempts}`,
      );
      return;
    }
  }

  /** Whether no disturbance overlaps a time span, or none but pauses of upstreams. */
  #isUndisturbed(fromMs: number, toMs: number, arePausesAllowed = false): boolean {
    return !this.#disturbances.some(
      (span) =>
        span.fromMs <= toMs && span.toMs >= fromMs && !(arePausesAllowed && span.isUpstreamPause),
    );
  }

  /** @param invariant - the violated invariant; the report names it in the field `promise` */
  #addViolation(invariant: InvariantName, what: string): void {
    this.violations.push({ promise: invariant, atMs: Math.round(this.#now()), what });
  }
}
