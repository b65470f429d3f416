import {
  RouterError,
  type Clock,
  type InstanceId,
  type Log,
  type Metrics,
  type UpstreamId,
} from '@acaciacrank/base';
import type { FleetLinks, FleetMessageOf, FleetRpc } from '@acaciacrank/fleet';
import {
  AnsweredRequests,
  maxEndsPerRequest,
  rankByKey,
  SuspectRequests,
  type SuspectAttemptRequest,
  type SuspectDecision,
  type SuspectRequest,
  type UpstreamEnd,
} from '@acaciacrank/routing';

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  rpc: FleetRpc;
  links: FleetLinks;
  clock: Clock;
  instanceId: InstanceId;
  /** The instances that currently live, including this one. */
  live: () => readonly InstanceId[];
  log: Log;
  metrics: Metrics;
}

/** An attempt to send a request under suspicion. */
export interface SuspectAttempt {
  /** The upstream to send it to. */
  readonly upstreamId: UpstreamId;
  /** Number of upstreams that have ended under the request. */
  readonly endCount: number;
  /** Reports the result: whether the upstream answered, so that the request did not end it. */
  finish(wasAnswered: boolean): void;
}

/** A question whether a request may be sent. */
export interface SuspectQuestion extends SuspectRequest {
  /** Returns the upstreams to which it may be sent now, the preferred one first. */
  readonly candidates: () => readonly UpstreamId[];
  /** Until when the question may be repeated, on the monotonic clock in milliseconds. */
  readonly deadlineMs: number;
}

type ToldSuspect = FleetMessageOf<'suspectRequests'>['requests'][number];

/** Number of instances that know of the ends at a service: its home and one that can take its place. */
const homeCount = 2;
/** Number of ends from which all instances are told of a request. */
const endsToTellAll = 2;
/** Maximum number of suspects in one message, and of upstreams in one question. */
const maxInMessage = { suspects: 64, candidates: 32 } as const;
/** Timeout of a home's reply, in milliseconds. */
const replyTimeoutMs = 200;
/** Time between two questions while another attempt is under way, and for how long they are asked, in ms. */
const busyPoll = { intervalMs: 100, limitMs: 1_000 } as const;

/**
 * Keeps requests that end upstreams (queries of death) from ending more, whichever instance they come to.
 *
 * Who sees an upstream end under a request tells the home of its service, the first of the live instances in the
 * rendezvous order of the service's name. All instances are told when a second upstream ends under it, and when it
 * is convicted. Only who is about to send such a request asks the home; nothing is asked or told for any other.
 */
export class RequestQuarantine implements Disposable {
  readonly suspects: SuspectRequests;
  readonly #answered: AnsweredRequests;
  readonly #options: RequestQuarantineOptions;
  readonly #subscriptions: readonly Disposable[];
  #attemptCount = 0;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    const { clock, links, rpc } = options;
    this.suspects = new SuspectRequests({ clock });
    this.#answered = new AnsweredRequests(clock);
    this.#subscriptions = [
      links.subscribe((message) => {
        if (message.kind === 'suspectRequests') this.#receive(message);
        if (message.kind === 'suspectAttemptEnded')
          this.suspects.finishAttempt(message.attempt, message.wasAnswered);
      }),
      rpc.answer('suspectAttempt', ({ suspect, attempt, candidates }) => {
        this.#merge(suspect);
        const decision = this.suspects.requestAttempt({ ...suspect, attempt, candidates });
        return { kind: 'suspectAttempt', ...decision, suspect: this.#describe(suspect) };
      }),
    ];
  }

  /** Whether this instance knows of upstreams that ended under the request. */
  isSuspect(digest: string): boolean {
    return this.suspects.ends(digest).length > 0;
  }

  /** Records that an upstream has answered a request. */
  recordAnswered(digest: string): void {
    this.#answered.record(digest);
  }

  /** Records that an upstream ended under a request of this instance, and tells the home of its service. */
  recordEnd(request: SuspectRequest, upstreamId: UpstreamId): void {
    const { clock } = this.#options;
    if (this.#answered.has(request.digest)) return;
    this.#add(request, { upstreamId, atMs: clock.monotonicMs() });
    for (const home of this.homesOf(request)) this.#tell(home, [request]);
  }

  /**
   * Asks to send a request that may be under suspicion.
   *
   * @returns the attempt, whose result is to be reported; undefined if the request is clear
   * @throws RouterError `requestQuarantined`, or `upstreamUnavailable` if other attempts are under way
   */
  async admit(question: SuspectQuestion): Promise<SuspectAttempt | undefined> {
    const { clock, metrics } = this.#options;
    const untilMs = Math.min(question.deadlineMs, clock.monotonicMs() + busyPoll.limitMs);
    for (;;) {
      this.#attemptCount += 1;
      const attempt = `${this.#options.instanceId}/${this.#attemptCount}`;
      const { decision, home } = await this.#ask(question, attempt);
      metrics.count('suspectAttempts', decision.verdict);
      if (decision.verdict === 'clear') return undefined;
      if (decision.verdict === 'granted') {
        const { upstreamId } = decision;
        const endCount = this.suspects.ends(question.digest).length;
        const finish = (wasAnswered: boolean) => {
          this.#finish(home, attempt, wasAnswered);
        };
        return { upstreamId, endCount, finish };
      }
      if (decision.verdict === 'quarantined') throw createQuarantinedError();
      if (clock.monotonicMs() + busyPoll.intervalMs >= untilMs) {
        throw new RouterError('upstreamUnavailable', 'the request is being tried elsewhere');
      }
      await clock.sleep(busyPoll.intervalMs);
    }
  }

  /** Tells a peer that has become live of the requests of which this instance is the home. */
  sendAllTo(peer: InstanceId): void {
    if (this.suspects.isEmpty) return;
    const requests = this.suspects.withEnds(endsToTellAll).filter((one) => this.#isHome(one));
    this.#tell(peer, requests);
  }

  [Symbol.dispose](): void {
    for (const subscription of this.#subscriptions) subscription[Symbol.dispose]();
  }

  /** Asks the homes in turn; where none replies, what this instance knows decides. */
  async #ask(
    question: SuspectQuestion,
    attempt: string,
  ): Promise<{ readonly decision: SuspectDecision; readonly home: InstanceId }> {
    const { instanceId } = this.#options;
    const candidates = question.candidates().slice(0, maxInMessage.candidates);
    const own = () => this.suspects.requestAttempt({ ...question, attempt, candidates });
    if (this.suspects.ends(question.digest).length >= maxEndsPerRequest) {
      return { decision: own(), home: instanceId };
    }
    for (const home of this.homesOf(question)) {
      if (home === instanceId) break;
      const decision = await this.#askHome(home, question, { attempt, candidates });
      if (decision !== undefined) return { decision, home };
    }
    return { decision: own(), home: instanceId };
  }

  async #askHome(
    home: InstanceId,
    question: SuspectQuestion,
    attempt: Pick<SuspectAttemptRequest, 'attempt' | 'candidates'>,
  ): Promise<SuspectDecision | undefined> {
    const { rpc } = this.#options;
    try {
      const { verdict, upstreamId, suspect } = await rpc.ask(
        home,
        {
          kind: 'suspectAttempt',
          suspect: this.#describe(question),
          attempt: attempt.attempt,
          candidates: [...attempt.candidates],
        },
        { timeoutMs: replyTimeoutMs },
      );
      if (verdict === 'clear') this.suspects.forget(question.digest);
      else this.#merge(suspect);
      if (verdict !== 'granted') return { verdict };
      return upstreamId === undefined ? undefined : { verdict, upstreamId };
    } catch {
      // The next one in the order takes its place.
      return undefined;
    }
  }

  #finish(home: InstanceId, attempt: string, wasAnswered: boolean): void {
    const { links, instanceId } = this.#options;
    if (home === instanceId) this.suspects.finishAttempt(attempt, wasAnswered);
    else links.send(home, { kind: 'suspectAttemptEnded', attempt, wasAnswered });
  }

  #receive({ requests }: FleetMessageOf<'suspectRequests'>): void {
    for (const suspect of requests) this.#merge(suspect);
  }

  #merge({ digest, service, ends, isConvicted }: ToldSuspect): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const { upstreamId, ageMs } of ends) {
      this.#add({ digest, service }, { upstreamId, atMs: nowMs - ageMs });
    }
    if (isConvicted) this.suspects.convict(digest);
  }

  /** Adds an end, and as the home of the service tells all instances if they have to know. */
  #add(request: SuspectRequest, end: UpstreamEnd): void {
    const { digest } = request;
    if (this.#answered.has(digest)) return;
    if (!this.suspects.recordEnd(request, end)) return;
    const endCount = this.suspects.ends(digest).length;
    if (endCount < endsToTellAll || !this.#isHome(request)) return;
    const { log, live } = this.#options;
    const isConvicted = this.suspects.isConvicted(digest);
    const { service } = request;
    const { upstreamId } = end;
    log.warn({ digest, service, endCount, isConvicted, upstreamId }, 'request ends upstreams');
    for (const peer of live()) this.#tell(peer, [request]);
  }

  #tell(peer: InstanceId, requests: readonly SuspectRequest[]): void {
    const { instanceId, links } = this.#options;
    if (peer === instanceId || requests.length === 0) return;
    const suspects = requests.slice(0, maxInMessage.suspects).map((one) => this.#describe(one));
    links.send(peer, { kind: 'suspectRequests', requests: suspects });
  }

  #describe({ digest, service }: SuspectRequest): ToldSuspect {
    const nowMs = this.#options.clock.monotonicMs();
    const ends = this.suspects
      .ends(digest)
      .slice(0, maxEndsPerRequest)
      .map(({ upstreamId, atMs }) => ({ upstreamId, ageMs: Math.max(0, nowMs - atMs) }));
    return { digest, service, ends, isConvicted: this.suspects.isConvicted(digest) };
  }

  /**
   * Whether this instance is the home of a request's service, or takes its place: both tell all instances, since a
   * home that is gone is not known to be for some seconds.
   */
  #isHome(request: SuspectRequest): boolean {
    return this.homesOf(request).includes(this.#options.instanceId);
  }

  /** The home of a request's service, and who takes its place. */
  homesOf({ service }: SuspectRequest): readonly InstanceId[] {
    const candidates = this.#options.live().map((id) => ({ id }));
    return rankByKey(service, candidates)
      .slice(0, homeCount)
      .map(({ id }) => id);
  }
}

function createQuarantinedError(): RouterError {
  return new RouterError(
    'requestQuarantined',
    `${maxEndsPerRequest} upstreams ended while they ran this request`,
  );
}
