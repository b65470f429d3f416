import {
  describeError,
  RouterError,
  withTimeout,
  type Clock,
  type FailureDomainId,
  type Log,
  type Metrics,
  type Random,
  type UpstreamId,
} from '@acaciacrank/base';
import { ByteBudget, CallerWriter, readBody, writeError } from '@acaciacrank/callers';
import type { PrepaidAccounts, ReserveOutcome } from '@acaciacrank/ledger';
import type { RetryShare } from '@acaciacrank/routing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Dispatch, type DispatchParts } from '../_lib/Dispatch/index.js';
import { EngineModels } from '../_lib/EngineModels/index.js';
import type { ForwardCall } from '../_lib/ForwardCall/index.js';
import { callerStallLimitMs, heldBytesLimit, tokenWaitLimitMs } from '../_lib/limits/index.js';
import { PartPlaces } from '../_lib/PartPlaces/index.js';
import { RequestStory } from '../_lib/RequestStory/index.js';
import type { ForwardCodec } from '../ForwardCodec/index.js';
import type { RouteTable } from '../RouteTable/index.js';
import type {
  CallHead,
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
  /** The configuration in force; undefined while none is known. */
  routes: () => RouteTable | undefined;
  upstreams: UpstreamTable;
  tokens: PrepaidAccounts;
  retries: RetryShare;
  ownDomain: FailureDomainId;
  /** Whether new requests are taken; an instance that leaves refuses them at its end. */
  isAccepting: () => boolean;
  /** Whether connections end with their next answer. */
  isLeaving: () => boolean;
  random: Random;
  log: Log;
  metrics: Metrics;
}

/** Body bound while no configuration is known, in bytes. */
const unknownBodyBytes = 1_048_576;
/** How long an instance counts as short of tokens after a refusal, in milliseconds: one directory answer. */
const shortMs = 3_000;
/** Callers read fractions of a second, so waits are rounded up to this, in milliseconds. */
const retryAfterStepMs = 100;

/** Serves callers' requests by forwarding them to upstreams. */
export class ForwardHandler {
  readonly #options: ForwardHandlerOptions;
  readonly #bodies = new ByteBudget(heldBytesLimit);
  readonly #parts: DispatchParts;
  #underWay = 0;
  #shortUntilMs = -Infinity;

  constructor(options: ForwardHandlerOptions) {
    this.#options = options;
    const models = new EngineModels((service, fit) => {
      options.log.info({ service, ...fit }, 'engines learnt');
    });
    this.#parts = { ...options, parts: new PartPlaces(), models };
  }

  /** Requests that have no final answer yet. */
  get underWay(): number {
    return this.#underWay;
  }

  /**
   * Whether requests were refused just now because the store could not be asked for tokens.
   *
   * Guards against callers that stay with an instance that is cut off and has used up its stock,
   * while others can grant: it shows as refusals at one instance only.
   */
  get isShortOfTokens(): boolean {
    return this.#options.clock.monotonicMs() < this.#shortUntilMs;
  }

  /** Forgets what an upstream held: it has started again. */
  forgetHeld(upstreamId: UpstreamId): void {
    this.#parts.parts.forget(upstreamId);
  }

  /** Serves one request; its answer is complete, or visibly broken, when this returns. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const story = new RequestStory(this.#options.clock);
    const head = this.#options.codec.readCall(request.headers);
    const admission: Admission = { head, routeName: undefined, accountId: undefined };
    this.#underWay += 1;
    if (this.#options.isLeaving()) response.shouldKeepAlive = false;
    let outcome = 'answered';
    try {
      using held = this.#bodies.open();
      const limit = this.#options.routes()?.configuration.limits.bodyBytes ?? unknownBodyBytes;
      const body = await readBody(request, limit, held);
      const call = this.#admit(request, response, body, story, admission);
      await this.#serve(call);
    } catch (thrown) {
      outcome = this.#answerError(response, thrown, story);
    } finally {
      this.#underWay -= 1;
      this.#tell(response, story, admission, outcome);
    }
  }

  #admit(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    story: RequestStory,
    admission: Admission,
  ): ForwardCall {
    const routes = this.#options.routes();
    if (routes === undefined) throw new RouterError('notReady', 'no configuration is known yet');
    if (!this.#options.isAccepting()) throw new RouterError('instanceLeaving', 'the instance ends');
    const { head } = admission;
    const route = routes.match(request.headers.host ?? '', request.url ?? '/');
    if (route === undefined) throw new RouterError('notFound', 'no route matches host and path');
    admission.routeName = route.name;
    const account = accountFor(routes, route, head.key);
    admission.accountId = account?.accountId;
    const waitMs = Math.min(head.budgetMs ?? route.timeoutMs, route.timeoutMs);
    story.add('admitted', { route: route.name, version: routes.configuration.version, waitMs });
    return {
      request,
      response,
      writer: this.#writer(response),
      head,
      route,
      service: this.#chooseService(routes, route),
      account,
      body,
      deadlineMs: story.receivedMs + waitMs,
      gone: goneSignal(response),
      story,
      progress: { mayHaveRun: false, sends: 0, events: 0, lastEventId: undefined },
    };
  }

  #writer(response: ServerResponse): CallerWriter {
    const { clock, metrics } = this.#options;
    const onStall = () => {
      metrics.count('stalledCallers');
    };
    return new CallerWriter(response, { clock, stallLimitMs: callerStallLimitMs, onStall });
  }

  #chooseService(routes: RouteTable, route: Route): ServiceTraits {
    const name = chooseTarget(route.targets, this.#options.random).service;
    return routes.service(name) ?? { name, maxConnections: 1, engine: undefined };
  }

  async #serve(call: ForwardCall): Promise<void> {
    const { tokens } = call.head;
    const { account } = call;
    if (tokens === undefined || account?.prepaidTokens === undefined) {
      await new Dispatch(this.#parts, call).run();
      return;
    }
    const most = tokens.promptTokens + tokens.maxOutputTokens;
    const reservation = { accountId: account.accountId, tokens: most };
    await this.#reserve(call, account, most);
    try {
      await new Dispatch(this.#parts, call).run();
    } finally {
      const used = usedTokens(call, tokens);
      this.#options.tokens.settle(reservation, used);
      call.story.add('settled', { tokens: used, reservedTokens: most });
    }
  }

  async #reserve(call: ForwardCall, account: ForwardAccount, tokens: number): Promise<void> {
    const { clock, tokens: ledger } = this.#options;
    const leftMs = call.deadlineMs - clock.monotonicMs();
    const limitMs = Math.min(tokenWaitLimitMs, leftMs);
    let isGivenUp = false;
    const reserving = ledger.reserve(account.accountId, tokens).then((outcome) => {
      // Tokens that come after the request was refused go straight back.
      if (isGivenUp && outcome === 'reserved') {
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
      isGivenUp = true;
      throw thrown;
    }
    call.story.add('tokens', {
      outcome,
      tokens,
      stockTokens: ledger.stockTokens(account.accountId),
    });
    if (outcome === 'storeAway') this.#shortUntilMs = clock.monotonicMs() + shortMs;
    if (outcome !== 'reserved') throw refusalFor(outcome, tokens);
  }

  /** Answers an error where an answer can still be given; else ends the connection. */
  #answerError(response: ServerResponse, thrown: unknown, story: RequestStory): string {
    const error = describeError(thrown);
    story.add('failed', { kind: error.kind, ran: error.ran, why: error.message });
    if (response.destroyed || error.kind === 'cancelled') {
      response.destroy();
    } else if (response.headersSent) {
      // A part is out already: only a broken connection shows that the rest will not come.
      response.destroy();
    } else {
      writeError(response, error, this.#options.random, { retryAfterStepMs });
    }
    return error.kind;
  }

  #tell(
    response: ServerResponse,
    story: RequestStory,
    admission: Admission,
    outcome: string,
  ): void {
    const { log, metrics } = this.#options;
    const { head, routeName = '(none)', accountId = '(none)' } = admission;
    const { elapsedMs } = story;
    metrics.count('requests', outcome);
    metrics.record('requestMs', `${accountId}/${routeName}`, elapsedMs);
    const status = response.headersSent ? response.statusCode : 0;
    const { requestId } = head;
    log.info(
      { requestId, accountId, route: routeName, status, elapsedMs, outcome, steps: story.steps },
      'request',
    );
  }
}

/** What is known of a request for its log line, as far as it came. */
interface Admission {
  readonly head: CallHead;
  routeName: string | undefined;
  accountId: string | undefined;
}

function accountFor(
  routes: RouteTable,
  route: Route,
  key: string | undefined,
): ForwardAccount | undefined {
  if (routes.configuration.accounts === undefined) return undefined;
  const account = key === undefined ? undefined : routes.accountOf(key);
  if (account !== undefined || route.isPublic) return account;
  throw new RouterError('unauthenticated', 'no client account holds this key');
}

function chooseTarget(targets: readonly RouteTarget[], random: Random): RouteTarget {
  const [first] = targets;
  if (first === undefined) throw new RouterError('notFound', 'the route has no service');
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let at = random() * total;
  for (const target of targets) {
    at -= target.weight;
    if (at < 0) return target;
  }
  return first;
}

/** What a request used: its prompt once where it was sent, and each event that came at its full size. */
function usedTokens({ progress, service }: ForwardCall, tokens: TokenDemand): number {
  if (progress.sends === 0) return 0;
  if (progress.events === 0 && !progress.mayHaveRun) return 0;
  const perEvent = service.engine?.tokensPerEvent ?? 1;
  return tokens.promptTokens + Math.min(tokens.maxOutputTokens, progress.events * perEvent);
}

function refusalFor(outcome: Exclude<ReserveOutcome, 'reserved'>, tokens: number): RouterError {
  if (outcome === 'exhausted') {
    return new RouterError('budgetExhausted', `less than ${tokens} prepaid tokens are left`);
  }
  if (outcome === 'heldElsewhere') {
    return new RouterError('tokensHeldElsewhere', `no ${tokens} tokens can be had at once`);
  }
  // The instances lend each other what they have, so nothing is to be had before the store is back.
  return new RouterError('storeUnavailable', `the store did not grant ${tokens} tokens`);
}

/** Aborted when the connection closes before the answer is complete. */
function goneSignal(response: ServerResponse): AbortSignal {
  const abort = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abort.abort();
  });
  return abort.signal;
}
