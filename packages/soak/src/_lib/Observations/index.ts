import type { PromiseName, Violation } from '../../types.js';
import { bounds, slackMs } from '../InstanceProcess/index.js';
import { LimitCheck } from '../LimitCheck/index.js';
import { NamingCheck } from '../NamingCheck/index.js';
import { accounts, movedService, tokensPerEvent } from '../soakDocument/index.js';

/** How one request ended for its caller. */
export type CallOutcome = 'served' | 'refused' | 'spent' | 'failed' | 'cut';

/** A request as its caller saw it. */
export interface SeenCall {
  readonly id: string;
  readonly path: string;
  readonly isRepeatable: boolean;
  readonly account: string;
  readonly instance: number;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly outcome: CallOutcome;
  /** The service that the answer names; empty where it names none. */
  readonly service: string;
  /** What was wrong with a success; empty where nothing was. */
  readonly fault: string;
  readonly events: number;
}

interface Run {
  count: number;
  readonly account: string;
  readonly promptTokens: number;
}

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** A change of configuration must be in force this long after its acknowledgement, in milliseconds. */
const configurationMs = 2_000;
/** An upstream that leaves gets nothing new this long after it said so, in milliseconds. */
const drainMs = 2_000;
/** The least share of requests that is served while nothing is wrong. */
const leastServedShare = 0.5;
/** Fewer calm requests than this tell nothing about that share. */
const fewestCalmCalls = 40;
/** Requests made while more upstreams have a limit are not counted; a service may have no other upstream. */
const maxLimitedUpstreams = 1;

/** What callers and upstreams saw of a run, and which promises did not hold. */
export class Observations {
  readonly calls: SeenCall[] = [];
  readonly violations: Violation[] = [];
  readonly naming: NamingCheck;
  readonly limits: LimitCheck;
  readonly #now: () => number;
  readonly #runs = new Map<string, Run>();
  readonly #refused = new Map<string, number>();
  readonly #versions: { readonly version: number; readonly ackMs: number }[] = [];
  readonly #disturbances: Span[] = [];
  readonly #stops: (Span & { readonly instance: number })[] = [];
  readonly #arrivals: {
    readonly service: string;
    readonly atMs: number;
    readonly isFirst: boolean;
  }[] = [];
  readonly #eventsOf = new Map<string, number>();

  /** @param now - milliseconds from the start of the run */
  constructor(now: () => number) {
    this.#now = now;
    const onViolation = (promise: PromiseName, what: string) => {
      this.#break(promise, what);
    };
    this.naming = new NamingCheck({ now, onViolation });
    this.limits = new LimitCheck({ now, onViolation });
  }

  /** Notes a fault; promises with a bound on time are not checked in it and for a while after it. */
  disturb(forMs: number): void {
    const nowMs = this.#now();
    this.#disturbances.push({ fromMs: nowMs, toMs: nowMs + forMs + bounds.stableWindowMs });
  }

  /** Notes that an instance was asked to stop by plan. */
  beginStop(instance: number, forMs: number): void {
    const nowMs = this.#now();
    this.#stops.push({ instance, fromMs: nowMs, toMs: nowMs + forMs });
  }

  /** Notes that the store has acknowledged a configuration. */
  acknowledge(version: number): void {
    this.#versions.push({ version, ackMs: this.#now() });
  }

  /** Notes that an upstream received a request. */
  arrive(service: string, id: string, leavingSinceMs: number | undefined): void {
    const nowMs = this.#now();
    this.#arrivals.push({ service, atMs: nowMs, isFirst: !this.#runs.has(id) });
    if (leavingSinceMs === undefined || nowMs < leavingSinceMs + drainMs + slackMs) return;
    if (this.#isCalm(leavingSinceMs, nowMs)) {
      this.#break('leavingUpstream', `${id} came ${nowMs - leavingSinceMs} ms after it left`);
    }
  }

  /** Notes that an upstream ran a request. */
  run(id: string, isRepeatable: boolean, account: string, promptTokens: number): void {
    const known = this.#runs.get(id) ?? { count: 0, account, promptTokens };
    known.count += 1;
    this.#runs.set(id, known);
    if (known.count > 1 && !isRepeatable)
      this.#break('atMostOnce', `${id} ran ${known.count} times`);
    if (this.#refused.has(id)) this.#break('trueRefusal', `${id} ran after it was refused`);
    if (known.count === 1) this.#checkPrepaid(account);
  }

  /** Notes how a request ended for its caller. */
  end(call: SeenCall): void {
    this.calls.push(call);
    this.#eventsOf.set(call.account, (this.#eventsOf.get(call.account) ?? 0) + call.events);
    this.#checkPrepaid(call.account);
    if (call.fault !== '') this.#break('wholeAnswer', `${call.id}: ${call.fault}`);
    if (call.outcome === 'refused' && !call.isRepeatable) {
      this.#refused.set(call.id, call.endedMs);
      if (this.#runs.has(call.id)) this.#break('trueRefusal', `${call.id} ran and was refused`);
    }
    if (call.path === '/moved/' && call.outcome === 'served') this.#checkConfiguration(call);
    if (call.outcome === 'cut') this.#checkStop(call);
  }

  /** Checks what shows only over the whole run. */
  finish(): void {
    for (const service of new Set(this.#arrivals.map((arrival) => arrival.service))) {
      this.#checkRetries(service);
    }
    const calm = this.calls.filter(
      ({ sentMs, endedMs, outcome }) =>
        outcome !== 'spent' &&
        this.#isCalm(sentMs, endedMs) &&
        this.limits.countLimited(sentMs, endedMs) <= maxLimitedUpstreams,
    );
    const served = calm.filter(({ outcome }) => outcome === 'served').length;
    if (calm.length >= fewestCalmCalls && served < leastServedShare * calm.length) {
      this.#break('served', `${served} of ${calm.length} requests were served while all was well`);
    }
  }

  #checkPrepaid(name: string): void {
    const account = accounts.find((one) => one.name === name);
    if (account === undefined) return;
    let spent = (this.#eventsOf.get(name) ?? 0) * tokensPerEvent;
    for (const run of this.#runs.values()) if (run.account === name) spent += run.promptTokens;
    if (spent > account.prepaidTokens) {
      this.#break('prepaid', `${name} spent ${spent} of ${account.prepaidTokens} tokens`);
    }
  }

  /** Any version may be in force that no other was in time to replace before the request was sent. */
  #checkConfiguration({ id, sentMs, endedMs, service }: SeenCall): void {
    const inForce = this.#versions.filter(
      ({ ackMs }) => ackMs + configurationMs + slackMs <= sentMs,
    );
    const oldest = inForce.at(-1);
    if (oldest === undefined || !this.#isCalm(oldest.ackMs, endedMs)) return;
    const allowed = this.#versions.filter(
      ({ version, ackMs }) => version >= oldest.version && ackMs <= endedMs,
    );
    if (allowed.some(({ version }) => movedService(version) === service)) return;
    this.#break('configuration', `${id} went to ${service}, ${oldest.version} is in force`);
  }

  #checkStop({ id, instance, sentMs, endedMs }: SeenCall): void {
    const stop = this.#stops.find(
      (one) => one.instance === instance && one.fromMs <= endedMs && endedMs <= one.toMs,
    );
    if (stop === undefined || !this.#isCalm(Math.min(sentMs, stop.fromMs), endedMs)) return;
    this.#break('plannedStop', `${id} was cut ${endedMs - stop.fromMs} ms after the stop began`);
  }

  /** Repeats in each window against the requests of that window and the one before it. */
  #checkRetries(service: string): void {
    const arrivals = this.#arrivals.filter((arrival) => arrival.service === service);
    for (const { atMs: endMs } of arrivals) {
      const inWindow = arrivals.filter(
        ({ atMs }) => atMs <= endMs && atMs > endMs - bounds.budgetWindowMs,
      );
      const repeats = inWindow.filter(({ isFirst }) => !isFirst).length;
      const firsts = arrivals.filter(
        ({ atMs, isFirst }) => isFirst && atMs <= endMs && atMs > endMs - 2 * bounds.budgetWindowMs,
      ).length;
      const allowed = bounds.budgetRatio * firsts + bounds.budgetSlack;
      if (repeats <= allowed) continue;
      this.#break('retryBudget', `${service} got ${repeats} repeats in a window of ${firsts}`);
      return;
    }
  }

  #isCalm(fromMs: number, toMs: number): boolean {
    return !this.#disturbances.some((span) => span.fromMs <= toMs && span.toMs >= fromMs);
  }

  #break(promise: PromiseName, what: string): void {
    this.violations.push({ promise, atMs: Math.round(this.#now()), what });
  }
}
