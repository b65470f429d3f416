import {
  toRouterError,
  RouterError,
  withTimeout,
  type AccountId,
  type Clock,
  type ErrorKind,
  type FailureDomainId,
  type InstanceId,
  type Log,
  type Metrics,
  type Random,
  type UpstreamId,
} from '@acaciacrank/base';
import {
  BodyMemory,
  BufferPressure,
  CallerWriter,
  ConnectionBacklog,
  readBody,
  WholeResponseWriter,
  writeError,
  type HeldBytes,
} from '@acaciacrank/callers';
import type { PrepaidAccounts, ReserveOutcome } from '@acaciacrank/ledger';
import { mayHaveRun, SendGate, SilenceProbes, type RetryShare } from '@acaciacrank/routing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Relay } from '../_lib/Relay/index.js';
import {
  relayedByHeader,
  relayKeyHeader,
  relayMaxSendsHeader,
  relayRefusedHeader,
  relayRequestHeader,
} from '../_lib/relayProtocol/index.js';
import { Dispatch, type DispatchDependencies } from '../_lib/Dispatch/index.js';
import { CallerDisconnect } from '../_lib/CallerDisconnect/index.js';
import { LineBudget } from '../_lib/LineBudget/index.js';
import { PrefillTimeModels } from '../_lib/PrefillTimeModels/index.js';
import type { ForwardCall } from '../_lib/ForwardCall/index.js';
import { callerStallTimeoutMs, tokenReserveTimeoutMs } from '../_lib/limits/index.js';
import { PromptPartLocations } from '../_lib/PromptPartLocations/index.js';
import { ResponseMemory } from '../_lib/ResponseMemory/index.js';
import { RequestTrace } from '../_lib/RequestTrace/index.js';
import type { ForwardCodec } from '../ForwardCodec/index.js';
import type { ReachMonitor } from '../ReachMonitor/index.js';
import type { RelayPeers } from '../RelayPeers/index.js';
import type { RequestQuarantine } from '@acaciacrank/callers';
import type { StreamAffinity } from '../StreamAffinity/index.js';
import { bindResumption } from '../_lib/bindResumption/index.js';
import type { RouteTable } from '../RouteTable/index.js';
import type {
  RequestHead,
  ForwardAccount,
  Route,
  RouteTarget,
  ServiceTraits,
  TokenDemand,
} from '../types.js';
import type { UpstreamTable } from '../UpstreamTable/index.js';

/** Options of {@link ForwardHandler}. */
export interface ForwardHandlerOptions {
  clock: Clock;
  codec: ForwardCodec;
  /** The current configuration; undefined until the first one is known. */
  routes: () => RouteTable | undefined;
  upstreams: UpstreamTable;
  tokens: PrepaidAccounts;
  retries: RetryShare;
  quarantine: RequestQuarantine;
  /** Returns what to wait for until this instance knows what its fleet blames; undefined once it does. */
  untilInformed: () => Promise<void> | undefined;
  /** Whether this instance reaches upstreams. */
  reach: ReachMonitor;
  /** The peers that send requests to upstreams while this instance reaches none. */
  relayPeers: RelayPeers;
  affinity: StreamAffinity;
  ownDomain: FailureDomainId;
  /** Whether a key is one that only this instance and the given peer know: the link key of either. */
  isPeerKey: (peer: InstanceId, key: string) => boolean;
  /** Size of all request and response bodies that are held, at most, in bytes. */
  maxHeldBytes: number;
  /** Size of all buffers of the process, at most, in bytes. */
  maxBufferBytes: number;
  /** Whether new requests are accepted; false in the final phase of a shutdown. */
  isAccepting: () => boolean;
  /** Whether connections are closed after their next response. */
  isLeaving: () => boolean;
  random: Random;
  log: Log;
  metrics: Metrics;
}

/** Maximum size of a request body before a configuration is known, in bytes. */
const defaultMaxBodyBytes = 1_048_576;
/** Maximum time for receiving a request body, in milliseconds. */
const maxBodyTimeoutMs = 30_000;
/**
 * How long after a refusal the instance reports a shortage of tokens, in milliseconds: the
 * lifetime of one directory response.
 */
const tokenShortageMs = 3_000;
/**
 * Retry delays are rounded up to a multiple of this, in milliseconds; callers accept fractions of a
 * second.
 */
const retryAfterStepMs = 100;

/** Log lines a second for requests that name no route. */
const maxUnroutedLinesPerSecond = 50;

/** Maximum length of an id of a caller's attempt in the log. */
const maxTracedIdLength = 64;

/** Handles callers' requests by forwarding them to upstreams. */
export class ForwardHandler {
  /** The connections of callers. */
  readonly connections: ConnectionBacklog;
  readonly #options: ForwardHandlerOptions;
  readonly #bodyMemory: BodyMemory;
  readonly #dispatchDependencies: DispatchDependencies;
  readonly #sendGate: SendGate;
  readonly #unroutedLines: LineBudget;
  #underWay = 0;
  #tokenShortageUntilMs = -Infinity;

  constructor(options: ForwardHandlerOptions) {
    this.#options = options;
    const { clock, metrics, maxHeldBytes: maxBytes } = options;
    const pressure = new BufferPressure({ clock, maxBytes: options.maxBufferBytes });
    this.#bodyMemory = new BodyMemory({
      maxBytes,
      pressure,
      onResponseClosed: () => {
        metrics.count('unreadResponsesClosed');
      },
    });
    this.#sendGate = new SendGate(options);
    this.#unroutedLines = new LineBudget(options.clock, maxUnroutedLinesPerSecond);
    this.connections = new ConnectionBacklog(options.clock);
    const models = new PrefillTimeModels((service, fit) => {
      options.log.info({ service, ...fit }, 'engines learnt');
    });
    this.#dispatchDependencies = {
      ...options,
      promptPartLocations: new PromptPartLocations(),
      silenceProbes: new SilenceProbes(),
      responseMemory: new ResponseMemory(clock, metrics, (bytes) => pressure.isHighAfter(bytes)),
      sendGate: this.#sendGate,
      models,
    };
  }

  /** Number of requests whose response is not complete. */
  get underWay(): number {
    return this.#underWay;
  }

  /**
   * Whether requests were recently refused because the store could not be queried for tokens.
   *
   * Guards against callers that stay with an instance that is partitioned from the store and has
   * used up its tokens, while other instances can grant some: requests are refused at one instance
   * only.
   */
  get isShortOfTokens(): boolean {
    return this.#options.clock.monotonicMs() < this.#tokenShortageUntilMs;
  }

  /** Whether a body of so many bytes, 0 if unknown, is to be read; one that is too large is refused once it is handled. */
  hasRoomForBody(bytes: number): boolean {
    return bytes > this.#maxBodyBytes || this.#bodyMemory.hasRoomFor(bytes);
  }

  /** Discards the assumed cache contents of an upstream after its restart. */
  forgetCachedParts(upstreamId: UpstreamId): void {
    this.#dispatchDependencies.promptPartLocations.removeEngine(upstreamId);
  }

  /**
   * Handles one request. When this returns, the response is complete or its connection was closed.
   */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const trace = new RequestTrace(this.#options.clock);
    const head = this.#options.codec.readRequestHead(request.headers);
    const summary: RequestSummary = { head, routeName: undefined, accountId: undefined };
    this.#underWay += 1;
    if (this.#options.isLeaving()) response.shouldKeepAlive = false;
    const disconnect = new CallerDisconnect(response);
    let outcome = 'answered';
    let call: ForwardCall | undefined;
    try {
      using held = this.#bodyMemory.open();
      const body = await this.#readBody(request, head, held);
      const isLate = this.connections.takeLate(request.socket) || this.#sendGate.isLate;
      if (isLate) await this.#waitForReads(disconnect, trace);
      call = this.#admit({ request, response, disconnect, body, held, trace }, summary);
      const informing = this.#options.untilInformed();
      if (informing !== undefined) await informing;
      await this.#serve(call);
    } catch (thrown) {
      outcome = this.#respondWithError(response, thrown, trace);
    } finally {
      this.#underWay -= 1;
      if (disconnect.isGone) this.#countDeparture(call);
      this.#logRequest(response, trace, summary, outcome);
    }
  }

  /** A request whose body is not whole when its time budget ends can't be answered in time. */
  #readBody(request: IncomingMessage, { budgetMs }: RequestHead, held: HeldBytes) {
    const { clock } = this.#options;
    const maxBytes = this.#maxBodyBytes;
    const timeoutMs = Math.min(budgetMs ?? maxBodyTimeoutMs, maxBodyTimeoutMs);
    return readBody(request, { maxBytes, held, clock, timeoutMs });
  }

  get #maxBodyBytes(): number {
    return this.#options.routes()?.configuration.limits.bodyBytes ?? defaultMaxBodyBytes;
  }

  /** Guards against work for a caller whose departure has not been read. */
  async #waitForReads(disconnect: CallerDisconnect, trace: RequestTrace): Promise<void> {
    const unreadMs = Math.round(this.#options.clock.unreadMs());
    await this.#sendGate.enter({ isLate: true });
    trace.add('lateRead', { unreadMs, isGone: disconnect.isGone });
    if (disconnect.isGone) throw new RouterError('cancelled', 'the caller left before it was read');
  }

  #countDeparture(call: ForwardCall | undefined): void {
    const wasSent = call !== undefined && call.progress.sendCount + call.progress.peerSendCount > 0;
    this.#options.metrics.count('callersLeft', wasSent ? 'afterSend' : 'beforeSend');
  }

  #admit(received: ReceivedCall, summary: RequestSummary): ForwardCall {
    const { request, trace } = received;
    const routes = this.#options.routes();
    if (routes === undefined) throw new RouterError('notReady', 'no configuration is known yet');
    if (!this.#options.isAccepting())
      throw new RouterError('instanceLeaving', 'the instance is shutting down');
    const { head } = summary;
    const found = routes.match(request.headers.host ?? '', request.url ?? '/');
    if (found === undefined) throw new RouterError('notFound', 'no route matches host and path');
    const relayedBy = this.#relayedBy(request);
    const route = relayedBy === undefined ? found : limitSends(found, request);
    summary.routeName = route.name;
    const account = accountFor(routes, route, head.key);
    summary.accountId = account?.accountId;
    const waitMs = Math.min(head.budgetMs ?? route.timeoutMs, route.timeoutMs);
    const { version } = routes.configuration;
    const isUnreached = this.#options.reach.isReached ? undefined : true;
    const { resumeAfter, resumedAttempt } = head;
    const resumed = { resumeAfter, resumedAttempt: resumedAttempt?.slice(0, maxTracedIdLength) };
    trace.add('admitted', { route: route.name, version, waitMs, isUnreached, ...resumed });
    return {
      ...received,
      writer: this.#createWriter(received),
      head,
      route,
      service: this.#chooseService(routes, route),
      account,
      relayedBy,
      deadlineMs: trace.receivedMs + waitMs,
      progress: {
        knowledge: 'notSent',
        sendCount: 0,
        peerSendCount: 0,
        endedCount: 0,
        events: 0,
        peerEvents: 0,
        lastEventId: undefined,
        origin: undefined,
      },
    };
  }

  #createWriter({ request, response, held }: ReceivedCall): CallerWriter {
    const { clock, metrics } = this.#options;
    const onStall = () => {
      metrics.count('stalledCallers');
    };
    const onRead = () => {
      held.recordRead();
    };
    const options = { clock, stallLimitMs: callerStallTimeoutMs, onStall, onRead };
    if (request.httpVersion === '1.0')
      return new WholeResponseWriter(response, { ...options, held });
    return new CallerWriter(response, options);
  }

  #chooseService(routes: RouteTable, route: Route): ServiceTraits {
    const name = chooseTarget(route.targets, this.#options.random).service;
    return routes.service(name) ?? { name, maxConnections: 1, engine: undefined };
  }

  async #serve(call: ForwardCall): Promise<void> {
    if (!this.#options.reach.isReached && (await this.#relay(call))) return;
    const options = { ...this.#options, routes: this.#options.routes() };
    await this.#dispatch(await bindResumption(call, options));
  }

  /**
   * Sends a request through a peer, which finds out what began a stream and debits the account.
   *
   * @returns whether the response has been written; false if the request is to be sent from here
   */
  async #relay(call: ForwardCall): Promise<boolean> {
    const { reach, relayPeers } = this.#options;
    const canRelay = relayPeers.canRelay(call);
    if (canRelay && (await new Relay(this.#dispatchDependencies, call).run())) return true;
    if (reach.reach.state === 'unreached')
      throw new RouterError('upstreamsUnreached', 'no upstream is reached, by any peer asked');
    return false;
  }

  /** Sends a request to an upstream, with tokens reserved for it if its account has a limit. */
  async #dispatch(call: ForwardCall): Promise<void> {
    const { tokens } = call.head;
    const { account } = call;
    if (tokens === undefined || account?.prepaidTokens === undefined) {
      await new Dispatch(this.#dispatchDependencies, call).run();
      return;
    }
    const maxTokens = tokens.promptTokens + tokens.maxOutputTokens;
    const reservation = { accountId: account.accountId, tokens: maxTokens };
    await this.#reserve(call, account, maxTokens);
    try {
      await new Dispatch(this.#dispatchDependencies, call).run();
    } finally {
      const usedTokens = countUsedTokens(call, tokens);
      this.#options.tokens.settle(reservation, usedTokens);
      call.trace.add('settled', { tokens: usedTokens, reservedTokens: maxTokens });
    }
  }

  async #reserve(call: ForwardCall, account: ForwardAccount, tokens: number): Promise<void> {
    const { clock, tokens: ledger } = this.#options;
    // Almost all requests find the tokens in stock; only the others need a timer.
    if (ledger.tryReserve(account.accountId, tokens)) {
      this.#traceReservation(call, account.accountId, 'reserved', tokens);
      return;
    }
    const remainingMs = call.deadlineMs - clock.monotonicMs();
    const limitMs = Math.min(tokenReserveTimeoutMs, remainingMs);
    let isAbandoned = false;
    const reserving = ledger.reserve(account.accountId, tokens).then((outcome) => {
      // Tokens granted after the request was refused are returned immediately.
      if (isAbandoned && outcome === 'reserved') {
        ledger.settle({ accountId: account.accountId, tokens }, 0);
      }
      return outcome;
    });
    let outcome: ReserveOutcome;
    try {
      outcome = await withTimeout(clock, limitMs, () => reserving, {
        kind: 'storeUnavailable',
        what: 'a grant of tokens',
      });
    } catch (thrown) {
      isAbandoned = true;
      throw thrown;
    }
    this.#traceReservation(call, account.accountId, outcome, tokens);
    if (outcome === 'storeAway') this.#tokenShortageUntilMs = clock.monotonicMs() + tokenShortageMs;
    if (outcome !== 'reserved') throw refusalFor(outcome, tokens);
  }

  #traceReservation(
    call: ForwardCall,
    accountId: AccountId,
    outcome: ReserveOutcome,
    tokens: number,
  ): void {
    const stockTokens = this.#options.tokens.stockTokens(accountId);
    call.trace.add('tokens', { outcome, tokens, stockTokens });
  }

  /** Sends an error response if no headers have been sent yet; otherwise closes the connection. */
  #respondWithError(response: ServerResponse, thrown: unknown, trace: RequestTrace): string {
    const error = toRouterError(thrown);
    const versionNow = this.#options.routes()?.configuration.version;
    trace.add('failed', { kind: error.kind, ran: error.ran, why: error.message, versionNow });
    if (response.headersSent && !response.destroyed)
      this.#options.metrics.count('streamsCut', error.kind);
    if (response.destroyed || error.kind === 'cancelled') {
      response.destroy();
    } else if (response.headersSent) {
      // Part of the response has been sent. All responses have a length or chunks, so that closing the connection
      // shows that it is incomplete.
      response.destroy();
    } else {
      if (this.#relayedBy(response.req) !== undefined) this.#addRelayHeaders(response, error);
      writeError(response, error, this.#options.random, { retryAfterStepMs });
    }
    return error.kind;
  }

  /** Returns the instance that relays a request; undefined if its caller sent it here, whatever it claims. */
  #relayedBy({ headers }: IncomingMessage): string | undefined {
    const { [relayKeyHeader]: key, [relayedByHeader]: peer } = headers;
    if (typeof key !== 'string' || typeof peer !== 'string') return undefined;
    return this.#options.isPeerKey(peer as InstanceId, key) ? peer : undefined;
  }

  /** Says which request the error answers, and whether another peer may take it. */
  #addRelayHeaders(response: ServerResponse, { kind }: RouterError): void {
    const { requestId } = this.#options.codec.readRequestHead(response.req.headers);
    if (requestId !== undefined) response.setHeader(relayRequestHeader, requestId);
    if (peerRefusals.has(kind)) response.setHeader(relayRefusedHeader, kind);
  }

  #logRequest(
    response: ServerResponse,
    trace: RequestTrace,
    summary: RequestSummary,
    outcome: string,
  ): void {
    const { log, metrics } = this.#options;
    const { head, routeName = '(none)', accountId = '(none)' } = summary;
    const { elapsedMs } = trace;
    metrics.count('requests', outcome);
    metrics.record('requestMs', `${accountId}/${routeName}`, elapsedMs);
    const status = response.headersSent ? response.statusCode : 0;
    // Requests that name no route may come from anybody.
    if (summary.routeName === undefined && !this.#unroutedLines.take()) {
      metrics.count('requestLinesLeftOut');
      return;
    }
    const { requestId } = head;
    log.info(
      { requestId, accountId, route: routeName, status, elapsedMs, outcome, steps: trace.steps },
      'request',
    );
  }
}

/** Refusals after which another peer may take a relayed request. */
const peerRefusals: ReadonlySet<ErrorKind> = new Set([
  'notReady',
  'instanceLeaving',
  'upstreamsUnreached',
]);

/** A peer that relays a request may have sent it before, so that fewer upstreams are left of those that the route allows. */
function limitSends(route: Route, request: IncomingMessage): Route {
  const told = Number(request.headers[relayMaxSendsHeader]);
  if (!Number.isSafeInteger(told)) return route;
  return { ...route, maxUpstreams: Math.min(route.maxUpstreams, Math.max(0, told)) };
}

/** A request that has been read. */
type ReceivedCall = Pick<
  ForwardCall,
  'request' | 'response' | 'disconnect' | 'body' | 'held' | 'trace'
>;

/** What the log line needs to know about a request; undefined until known. */
interface RequestSummary {
  readonly head: RequestHead;
  routeName: string | undefined;
  accountId: string | undefined;
}

function accountFor(
  routes: RouteTable,
  route: Route,
  key: string | undefined,
): ForwardAccount | undefined {
  if (routes.configuration.accounts === undefined) return undefined;
  const account = key === undefined ? undefined : routes.accountForKey(key);
  if (account !== undefined || route.isPublic) return account;
  throw new RouterError('unauthenticated', 'no client account has this key');
}

function chooseTarget(targets: readonly RouteTarget[], random: Random): RouteTarget {
  const [first] = targets;
  if (first === undefined) throw new RouterError('notFound', 'the route has no service');
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) return target;
  }
  return first;
}

/**
 * Returns the tokens that a request used: its prompt if it was sent, and the full size of each
 * event that arrived.
 */
function countUsedTokens({ progress, service }: ForwardCall, tokens: TokenDemand): number {
  if (progress.sendCount === 0) return 0;
  const events = progress.events - progress.peerEvents;
  if (events === 0 && !mayHaveRun(progress.knowledge)) return 0;
  const perEvent = service.engine?.tokensPerEvent ?? 1;
  return tokens.promptTokens + Math.min(tokens.maxOutputTokens, events * perEvent);
}

function refusalFor(outcome: Exclude<ReserveOutcome, 'reserved'>, tokens: number): RouterError {
  if (outcome === 'exhausted') {
    return new RouterError('budgetExhausted', `fewer than ${tokens} prepaid tokens are left`);
  }
  if (outcome === 'heldElsewhere') {
    return new RouterError(
      'tokensHeldElsewhere',
      `${tokens} tokens are not available: other instances hold them`,
    );
  }
  // Instances lend each other all tokens they have, so none are available until the store is back.
  return new RouterError('storeUnavailable', `the store did not grant ${tokens} tokens`);
}
