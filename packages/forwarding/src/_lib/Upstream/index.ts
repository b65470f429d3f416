/**
 * One upstream: its connections, what this instance has under way there, and how it fares.
 */
import type { Clock, UpstreamId } from '@acaciacrank/base';
import { ForeignQueue, type EngineWork } from '@acaciacrank/routing';
import type { ReportedLoad, UpstreamRecord } from '../../types.js';
import { UpstreamConnection } from '../UpstreamConnection/index.js';
import { UpstreamLimit, unshared, type LimitSharing } from '../UpstreamLimit/index.js';
import {
  failuresToLeaveOut,
  firstLeftOutMs,
  longestLeftOutMs,
  silenceMs,
} from '../limits/index.js';

/** What an engine reads for a request, as estimated when it was sent. */
export interface Reading {
  readonly expectedMs: number;
  readonly promptTokens: number;
  /** Tokens of the prompt that no other request shares. */
  readonly newTokens: number;
  /** Whether the engine is known to hold all the others. */
  readonly isHeld: boolean;
}

/** One request under way at an upstream. */
export interface Send {
  readonly sentMs: number;
  /** When the upstream last sent something for it, or when it was sent. */
  heardMs: number;
  readonly reading: Reading | undefined;
  /** Reading that this instance had ordered there before it, in milliseconds. */
  readonly aheadMs: number;
  /** Whether its answer has begun, so that the prompt is read. */
  hasBegun: boolean;
  /** The longest time between two parts of its answer, in milliseconds. */
  longestGapMs: number;
}

type UnreadSend = Send & { readonly reading: Reading };

function isUnread(send: Send): send is UnreadSend {
  return send.reading !== undefined && !send.hasBegun;
}

/** How much longer than expected a prompt has waited for its first event. */
function excessMs({ reading, sentMs, aheadMs }: UnreadSend, nowMs: number): number {
  return nowMs - sentMs - aheadMs - reading.expectedMs;
}

/** An upstream in use. */
export class Upstream implements AsyncDisposable, EngineWork {
  record: UpstreamRecord;
  /** Whether it may get new requests, as far as the store says. */
  isLeaving: boolean;
  /** The last load that it reported, and when. */
  load: { readonly report: ReportedLoad; readonly atMs: number } | undefined;
  /** The request rate that it accepts from all instances combined. */
  readonly limit: UpstreamLimit;
  readonly sends = new Set<Send>();
  readonly #clock: Clock;
  readonly #connectionShare: () => number;
  readonly #idle: UpstreamConnection[] = [];
  readonly #open = new Set<UpstreamConnection>();
  readonly #foreign = new ForeignQueue();
  #failuresInRow = 0;
  #leftOutMs = 0;
  #leftOutUntilMs = 0;
  #heardMs = 0;

  /**
   * @param connectionShare - returns how many connections, idle ones included, this instance may
   *   have open; unlimited by default
   */
  constructor(
    record: UpstreamRecord,
    clock: Clock,
    limitSharing: LimitSharing = unshared,
    connectionShare: () => number = () => Infinity,
  ) {
    this.record = record;
    this.isLeaving = record.state === 'leaving';
    this.#clock = clock;
    this.#connectionShare = connectionShare;
    this.limit = new UpstreamLimit(clock, record.id, limitSharing);
  }

  get id(): UpstreamId {
    return this.record.id;
  }

  /** Reading that is queued here, this instance's own and what it guesses of others', in milliseconds. */
  get backlogMs(): number {
    const nowMs = this.#clock.monotonicMs();
    const overdueMs = this.#unread().map((send) => excessMs(send, nowMs));
    return this.#ownBacklogMs() + this.#foreign.estimateMs(nowMs, Math.max(0, ...overdueMs));
  }

  /** Requests of this instance under way here. */
  get running(): number {
    return this.sends.size;
  }

  /** `IP:PORT` of this upstream. */
  get address(): string {
    return `${this.record.ip}:${this.record.port}`;
  }

  /** Whether it should get requests only where no other can. */
  isLeftOut(nowMs: number): boolean {
    return nowMs < this.#leftOutUntilMs || this.#isSilent(nowMs);
  }

  /** Whether the rate limit and the connection limit let this instance send it a request now. */
  get hasRoom(): boolean {
    return this.limit.waitMs === 0 && this.#hasFreeConnection;
  }

  get #hasFreeConnection(): boolean {
    return this.#idle.length > 0 || this.#open.size < this.#connectionShare();
  }

  /** Takes a connection for one request. */
  takeConnection(): UpstreamConnection {
    const idle = this.#idle.pop();
    if (idle !== undefined) return idle;
    const connection = new UpstreamConnection(this.address);
    this.#open.add(connection);
    return connection;
  }

  /**
   * Puts a connection back, or drops it.
   *
   * Guards against bytes that belong to no request: a connection on which an answer went wrong may
   * deliver the rest of it to the next request, so it is never used again.
   */
  returnConnection(connection: UpstreamConnection, isSound: boolean): void {
    // The share may have shrunk since the connection was opened.
    const isWithinShare = this.#open.size <= this.#connectionShare();
    if (isSound && isWithinShare && this.#open.has(connection)) {
      this.#idle.push(connection);
      return;
    }
    this.#open.delete(connection);
    connection.drop();
  }

  /** Notes that a request is sent there. */
  begin(reading: Reading | undefined): Send {
    const nowMs = this.#clock.monotonicMs();
    const send = {
      sentMs: nowMs,
      heardMs: nowMs,
      reading,
      aheadMs: this.#ownBacklogMs(),
      hasBegun: false,
      longestGapMs: 0,
    };
    this.sends.add(send);
    this.limit.recordSend();
    return send;
  }

  /** Notes that something came for a request; its first event ends its reading. */
  hear(send: Send, hasBegun: boolean): void {
    const nowMs = this.#clock.monotonicMs();
    if (hasBegun && isUnread(send)) this.#foreign.observe(excessMs(send, nowMs), nowMs);
    if (send.hasBegun) send.longestGapMs = Math.max(send.longestGapMs, nowMs - send.heardMs);
    send.hasBegun ||= hasBegun;
    send.heardMs = nowMs;
    this.#heardMs = nowMs;
  }

  /** Notes that a request has ended. */
  end(send: Send): void {
    this.sends.delete(send);
  }

  /** Notes that a request went well there. */
  succeed(): void {
    this.#failuresInRow = 0;
    this.#leftOutMs = 0;
    this.#leftOutUntilMs = 0;
  }

  /** Notes that a request failed there by the upstream's fault; returns whether it is left out now. */
  fail(): boolean {
    this.#failuresInRow += 1;
    if (this.#failuresInRow < failuresToLeaveOut) return false;
    this.leaveOut();
    return true;
  }

  /** Leaves the upstream out for a while, longer each time in a row. */
  leaveOut(): void {
    this.#leftOutMs = Math.min(longestLeftOutMs, Math.max(firstLeftOutMs, 2 * this.#leftOutMs));
    this.#leftOutUntilMs = this.#clock.monotonicMs() + this.#leftOutMs;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const connections = [...this.#open];
    this.#open.clear();
    this.#idle.length = 0;
    await Promise.all(connections.map(({ client }) => client.close()));
  }

  /** Reading that this instance has ordered here and that has not ended, in milliseconds. */
  #ownBacklogMs(): number {
    return this.#unread().reduce((sumMs, { reading }) => sumMs + reading.expectedMs, 0);
  }

  /** Requests whose prompts are being read, or wait for that. */
  #unread(): readonly UnreadSend[] {
    return [...this.sends].filter(isUnread);
  }

  /**
   * Guards against an upstream that went dark: connections stay open and say nothing for good. It
   * shows as requests that wait while nothing at all comes from there.
   */
  #isSilent(nowMs: number): boolean {
    if (nowMs - this.#heardMs < silenceMs) return false;
    for (const send of this.sends) if (nowMs - send.heardMs >= silenceMs) return true;
    return false;
  }
}
