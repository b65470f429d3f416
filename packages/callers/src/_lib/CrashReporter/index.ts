/**
 * Reports crashes of upstreams under this instance's requests to the homes of their services.
 */
import { getOrCreate, type Clock, type InstanceId, type ServiceName } from '@acaciacrank/base';
import type { CrashReportMessage, FleetReplyOf, FleetRpc } from '@acaciacrank/fleet';
import type { CrashReport, ReportedRequest } from '@acaciacrank/routing';

/** What a home replies: what the crashes of the service show by now. */
export type CrashReply = FleetReplyOf<'crashReport'>;

/** Options of {@link CrashReporter}. */
export interface CrashReporterOptions {
  rpc: FleetRpc;
  clock: Clock;
  instanceId: InstanceId;
  homesOf: (service: ServiceName) => readonly InstanceId[];
  /** Whether there are other instances, reachable or not. */
  hasPeers: () => boolean;
  onReply: (service: ServiceName, home: InstanceId, reply: CrashReply) => void;
  /**
   * Writes what this instance registers in the store, and reads what others have registered; undefined if instances
   * have no such registrations.
   */
  exchange: (() => Promise<void>) | undefined;
}

interface PendingReport extends CrashReport {
  readonly requests: ReportedRequest[];
}

/** Maximum number of requests in one report, and in one that is sent to a new home. */
const maxRequests = 256;
const maxForwardedRequests = 64;
/** Timeout of a home's reply, in milliseconds. */
const replyTimeoutMs = 200;
/** For how long a crash is registered in the store if no home has replied, in milliseconds. */
const registeredMs = 10_000;
/** Maximum number of crashes that are registered. */
const maxRegistered = 16;

/** Gathers the requests under one crash into one report. */
export class CrashReporter {
  readonly #options: CrashReporterOptions;
  readonly #pending = new Map<string, PendingReport>();
  #sending: Promise<void> | undefined;
  /** Crashes that no home has confirmed. */
  #unconfirmed: PendingReport[] = [];

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /**
   * Reports a request that was running at a crash.
   *
   * @returns resolves when the homes have replied, or did not in time
   */
  report(crash: Omit<CrashReport, 'requests'>, request: ReportedRequest): Promise<void> {
    const key = `${crash.service}/${crash.upstreamId}`;
    const pending = getOrCreate(this.#pending, key, () => ({ ...crash, requests: [] }));
    if (pending.requests.length < maxRequests) pending.requests.push(request);
    return (this.#sending ??= this.#sendSoon());
  }

  /** Sends known crashes to an instance that has become a home of their service. */
  forward(home: InstanceId, reports: readonly CrashReport[]): void {
    for (const report of reports.slice(-maxRegistered)) {
      const requests = report.requests.slice(0, maxForwardedRequests);
      void this.#ask(home, { ...report, requests });
    }
  }

  /** Sends at once what was reported. */
  flush(): Promise<void> {
    this.#sending = undefined;
    const reports = [...this.#pending.values()];
    this.#pending.clear();
    return Promise.all(reports.map((report) => this.#send(report))).then(() => undefined);
  }

  /** The crashes to register in the store, since no home has confirmed them. */
  get registered(): readonly CrashReportMessage[] {
    const nowMs = this.#options.clock.monotonicMs();
    this.#unconfirmed = this.#unconfirmed.filter(({ atMs }) => nowMs - atMs < registeredMs);
    return this.#unconfirmed.slice(-maxRegistered).map((report) => describeCrash(report, nowMs));
  }

  /** The requests whose connections broke at the same time are reported by then. */
  async #sendSoon(): Promise<void> {
    await this.#options.clock.sleep(0);
    await this.flush();
  }

  async #send(report: PendingReport): Promise<void> {
    const { instanceId, homesOf, hasPeers, exchange } = this.#options;
    const homes = homesOf(report.service);
    const asked = homes.filter((home) => home !== instanceId);
    const replies = await Promise.all(asked.map((home) => this.#ask(home, report)));
    const isConfirmed = replies.some((isReplied) => isReplied);
    if (isConfirmed || !hasPeers() || exchange === undefined) return;
    this.#unconfirmed.push(report);
    await exchange().catch(() => undefined);
  }

  async #ask(home: InstanceId, report: CrashReport): Promise<boolean> {
    const { rpc, clock, onReply } = this.#options;
    const message = describeCrash(report, clock.monotonicMs());
    try {
      const question = { kind: 'crashReport', report: message } as const;
      const reply = await rpc.ask(home, question, { timeoutMs: replyTimeoutMs });
      onReply(report.service, home, reply);
      return true;
    } catch {
      return false;
    }
  }
}

/** Describes a report for another instance. */
function describeCrash(report: CrashReport, nowMs: number): CrashReportMessage {
  const { service, upstreamId, atMs, requests } = report;
  return {
    service,
    upstreamId,
    ageMs: Math.max(0, nowMs - atMs),
    requests: requests.map(({ content, parts, sentMs, isIsolated = false }) => {
      return { content, parts: [...parts], sentAgeMs: Math.max(0, nowMs - sentMs), isIsolated };
    }),
  };
}
