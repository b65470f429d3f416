import { getOrCreate, type Clock, type ServiceName, type UpstreamId } from '@acaciacrank/base';

/** Number of upstreams that may end under one request. */
export const maxEndsPerRequest = 3;
/** Number of ends from which a request is sent to an upstream that runs no other suspect. */
export const endsToIsolate = 2;

/** An upstream that ended while it was running a request; the time is on the monotonic clock. */
export interface UpstreamEnd {
  readonly upstreamId: UpstreamId;
  readonly atMs: number;
}

/** A request, by a digest of what it asks for, and its service. */
export interface SuspectRequest {
  readonly digest: string;
  readonly service: ServiceName;
}

/**
 * Whether a request may be sent now: `clear` as any other, `granted` to one upstream and with its result reported,
 * `busy` not before another attempt has ended, `quarantined` not at all.
 */
export type SuspectDecision =
  | { readonly verdict: 'clear' | 'busy' | 'quarantined' }
  | { readonly verdict: 'granted'; readonly upstreamId: UpstreamId };

/** An attempt to send a suspect. */
export interface SuspectAttemptRequest extends SuspectRequest {
  /** Names the attempt. */
  readonly attempt: string;
  /** Upstreams to which it may be sent, the preferred one first. */
  readonly candidates: readonly UpstreamId[];
}

/** Options of {@link SuspectRequests}. */
export interface SuspectRequestsOptions {
  clock: Clock;
  /** Maximum number of requests that are remembered; 4,096 by default. */
  maxRequests?: number;
}

/** Two reports about one upstream within this time are about the same end, in milliseconds. */
const sameEndMs = 500;
/** For how long suspects, and requests in quarantine, are remembered after the last news of them, in ms. */
const retentionMs = { suspect: 600_000, quarantined: 3_600_000 } as const;
/** Time after which an attempt without a result no longer counts, in milliseconds. */
const attemptTimeoutMs = 20_000;
const defaultMaxRequests = 4_096;
/** Maximum number of ends that are remembered as explained. */
const maxExplained = 256;

interface SuspectEntry {
  readonly service: ServiceName;
  readonly ends: UpstreamEnd[];
  /** Ends that successful attempts have taken back; reports about them are ignored. */
  readonly excused: UpstreamEnd[];
  /** Whether an upstream ended that ran it apart from other suspects, after two others. */
  isConvicted: boolean;
  lastNewsMs: number;
}

interface PendingAttempt {
  readonly digest: string;
  readonly upstreamId: UpstreamId;
  readonly isIsolated: boolean;
  readonly grantedMs: number;
}

/**
 * Requests under which upstreams have ended.
 *
 * A request that ends the upstream which runs it (a query of death) ends the next one as well, whoever repeats it.
 * One end convicts nobody, since other requests ran beside it; the guilty one is there each time. After two ends a
 * request is sent only to an upstream that runs no other suspect, and after {@link maxEndsPerRequest} to none.
 * Attempts under way count as ends to come. Each success takes one end back. When a request is convicted, since an
 * upstream ended that ran no other suspect, what else is in quarantine for its ends may be tried once more.
 *
 * @example
 * suspects.recordEnd({ digest, service }, { upstreamId, atMs });
 * const decision = suspects.requestAttempt({ digest, service, attempt: 'one/1', candidates });
 */
export class SuspectRequests {
  readonly #clock: Clock;
  readonly #maxRequests: number;
  /** The least recently heard of first. */
  readonly #entries = new Map<string, SuspectEntry>();
  /** Digests of the entries with ends that count. */
  readonly #suspected = new Set<string>();
  readonly #attempts = new Map<string, PendingAttempt>();
  /** Ends that convicted requests explain. */
  readonly #explained: UpstreamEnd[] = [];

  constructor({ clock, maxRequests = defaultMaxRequests }: SuspectRequestsOptions) {
    this.#clock = clock;
    this.#maxRequests = maxRequests;
  }

  /** Whether no request is under suspicion or in quarantine. */
  get isEmpty(): boolean {
    return this.#suspected.size === 0;
  }

  /** Number of requests that are under suspicion, and that are in quarantine. */
  get counts(): { readonly suspected: number; readonly quarantined: number } {
    const quarantined = this.withEnds(maxEndsPerRequest).length;
    return { suspected: this.#suspected.size - quarantined, quarantined };
  }

  /** The requests under which at least so many upstreams have ended. */
  withEnds(minEnds: number): SuspectRequest[] {
    return [...this.#entries].flatMap(([digest, { service, ends }]) =>
      ends.length >= minEnds ? [{ digest, service }] : [],
    );
  }

  /** The upstreams that have ended under a request. */
  ends(digest: string): readonly UpstreamEnd[] {
    return this.#entries.get(digest)?.ends ?? [];
  }

  /** Whether a request was convicted, so that it explains its ends. */
  isConvicted(digest: string): boolean {
    return this.#entries.get(digest)?.isConvicted ?? false;
  }

  /** Records that an upstream ended under a request; returns whether that was not known. */
  recordEnd(request: SuspectRequest, end: UpstreamEnd): boolean {
    const entry = this.#touch(request);
    const explained = entry.ends.length >= endsToIsolate ? this.#explained : [];
    const known = [...entry.ends, ...entry.excused, ...explained];
    const attempt = this.#attemptAt(request.digest, end);
    if (known.some((one) => isSameEnd(one, end) && !isBefore(one, attempt))) return false;
    entry.ends.push(end);
    this.#suspected.add(request.digest);
    if (entry.ends.length >= maxEndsPerRequest && attempt?.isIsolated === true)
      this.convict(request.digest);
    return true;
  }

  /**
   * Takes a request as the cause of its ends. Others that are in quarantine for these as well may be tried once more;
   * none counts as clear, since the conviction may be wrong where upstreams crash by themselves.
   */
  convict(digest: string): void {
    const entry = this.#entries.get(digest);
    if (entry === undefined || entry.isConvicted) return;
    entry.isConvicted = true;
    this.#explained.push(...entry.ends);
    this.#explained.splice(0, this.#explained.length - maxExplained);
    for (const { ends, isConvicted } of this.#entries.values()) {
      if (isConvicted || ends.length < maxEndsPerRequest) continue;
      const explained = ends.findIndex((end) => entry.ends.some((one) => isSameEnd(one, end)));
      if (explained >= 0) ends.splice(explained, ends.length - endsToIsolate);
    }
  }

  /** Asks whether a request may be sent now; the result is reported by {@link finishAttempt}. */
  requestAttempt(request: SuspectAttemptRequest): SuspectDecision {
    const { digest, attempt } = request;
    if (this.ends(digest).length === 0) return { verdict: 'clear' };
    const { ends } = this.#touch(request);
    if (ends.length >= maxEndsPerRequest) return { verdict: 'quarantined' };
    this.#discardOverdueAttempts();
    const pending = [...this.#attempts.values()];
    const ownPending = pending.filter((other) => other.digest === digest);
    if (ends.length + ownPending.length >= maxEndsPerRequest) return { verdict: 'busy' };
    const isIsolated = ends.length >= endsToIsolate;
    const upstreamId = chooseApart(request.candidates, pending, isIsolated);
    if (upstreamId === undefined) return { verdict: 'busy' };
    const grantedMs = this.#clock.monotonicMs();
    this.#attempts.set(attempt, { digest, upstreamId, isIsolated, grantedMs });
    return { verdict: 'granted', upstreamId };
  }

  /** Reports that an attempt has its result, and whether the upstream answered it. */
  finishAttempt(attempt: string, wasAnswered: boolean): void {
    const pending = this.#attempts.get(attempt);
    if (pending === undefined) return;
    this.#attempts.delete(attempt);
    const entry = this.#entries.get(pending.digest);
    if (entry === undefined || !wasAnswered) return;
    const excused = entry.ends.shift();
    if (excused !== undefined) entry.excused.push(excused);
    if (entry.ends.length === 0) this.#suspected.delete(pending.digest);
  }

  /** Forgets a request. */
  forget(digest: string): void {
    this.#entries.delete(digest);
    this.#suspected.delete(digest);
  }

  /** The attempt under way at the upstream that ended, if there is one. */
  #attemptAt(digest: string, { upstreamId }: UpstreamEnd): PendingAttempt | undefined {
    return [...this.#attempts.values()].find(
      (one) => one.digest === digest && one.upstreamId === upstreamId,
    );
  }

  /** Returns the entry of a request as the one last heard of. */
  #touch({ digest, service }: SuspectRequest): SuspectEntry {
    const nowMs = this.#clock.monotonicMs();
    const entry = getOrCreate(this.#entries, digest, () => createEntry(service, nowMs));
    entry.lastNewsMs = nowMs;
    this.#entries.delete(digest);
    this.#entries.set(digest, entry);
    this.#discardOld(nowMs);
    return entry;
  }

  /** Discards expired entries and, if there are too many, the oldest suspect before what is in quarantine. */
  #discardOld(nowMs: number): void {
    let oldestSuspect: string | undefined;
    for (const [digest, entry] of this.#entries) {
      if (nowMs - entry.lastNewsMs >= retentionOf(entry)) this.forget(digest);
      else if (!isQuarantined(entry)) oldestSuspect ??= digest;
    }
    if (this.#entries.size <= this.#maxRequests) return;
    const [oldest] = this.#entries.keys();
    const discarded = oldestSuspect ?? oldest;
    if (discarded !== undefined) this.forget(discarded);
  }

  #discardOverdueAttempts(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const [attempt, { grantedMs }] of this.#attempts)
      if (nowMs - grantedMs >= attemptTimeoutMs) this.#attempts.delete(attempt);
  }
}

/**
 * Chooses an upstream for a suspect: one that runs no other suspect, or else, unless it has to be isolated, the one
 * with the fewest; none that runs an isolated one.
 */
function chooseApart(
  candidates: readonly UpstreamId[],
  pending: readonly PendingAttempt[],
  isIsolated: boolean,
): UpstreamId | undefined {
  const free = candidates.map((upstreamId) => {
    const there = pending.filter((one) => one.upstreamId === upstreamId);
    return { upstreamId, count: there.length, isTaken: there.some((one) => one.isIsolated) };
  });
  const usable = free.filter(({ count, isTaken }) => !isTaken && (!isIsolated || count === 0));
  const [first, ...others] = usable;
  if (first === undefined) return undefined;
  return others.reduce((best, one) => (one.count < best.count ? one : best), first).upstreamId;
}

function createEntry(service: ServiceName, nowMs: number): SuspectEntry {
  return { service, ends: [], excused: [], isConvicted: false, lastNewsMs: nowMs };
}

function isSameEnd(one: UpstreamEnd, other: UpstreamEnd): boolean {
  return one.upstreamId === other.upstreamId && Math.abs(one.atMs - other.atMs) < sameEndMs;
}

/** Whether an end came before an attempt was granted, so that the upstream has started again since. */
function isBefore({ atMs }: UpstreamEnd, attempt: PendingAttempt | undefined): boolean {
  return attempt !== undefined && atMs < attempt.grantedMs;
}

function isQuarantined({ ends }: SuspectEntry): boolean {
  return ends.length >= maxEndsPerRequest;
}

function retentionOf(entry: SuspectEntry): number {
  return isQuarantined(entry) ? retentionMs.quarantined : retentionMs.suspect;
}
