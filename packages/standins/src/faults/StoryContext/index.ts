import { toRouterError, RouterError, type ClassName } from '@acaciacrank/base';
import type { ChatCall, ChatFinalFrame, ServiceCall } from '@acaciacrank/callers';
import { parsePage, type PageBill } from '@acaciacrank/ledger';
import type { ObjectStore } from '@acaciacrank/store';
import type { ServiceResponse } from '@acaciacrank/upstreams';
import type { LocalFleet, LocalInstance } from '../../createLocalFleet/index.js';
import { MemoryObjectStore } from '@acaciacrank/store';
import { accountKey, budget } from '../document.js';
import type { FaultInjector } from '../FaultInjector/index.js';
import type { Violation } from '../types.js';
import { FaultInjectingStore } from '../wrapInstance/index.js';

/** Outcome of one call at one instance, as its caller observed it. */
export interface AttemptOutcome {
  readonly key: string;
  readonly kind: 'chat' | 'service';
  readonly instanceId: string;
  readonly startedMs: number;
  endedMs: number;
  text: string;
  final: ChatFinalFrame | undefined;
  response: ServiceResponse | undefined;
  error: RouterError | undefined;
  /** Whether the caller closed the connection before the end. */
  hasHungUp: boolean;
  /** Whether the connection broke because the instance crashed. */
  isCrashed: boolean;
  /** Whether the caller stopped waiting after its timeout. */
  hasTimedOut: boolean;
}

/** Options of a chat attempt. */
export interface ChatAttemptOptions {
  /** Number of tokens after which the caller closes the connection. */
  hangUpAfterTokens?: number;
  /** A message before the prompt's own, which other prompts share. */
  context?: string | undefined;
}

/** Options of {@link StoryContext}. */
export interface StoryContextOptions {
  /** Opening balance of the budget, in tokens. */
  openingTokens?: number;
  /** Whether engines check fencing numbers; false only in a mutation. */
  isFencingChecked?: boolean | undefined;
  /** Mutates the store connections of operators. */
  wrapOperatorStore?: ((store: ObjectStore) => ObjectStore) | undefined;
}

/** How long a caller waits for a response, in milliseconds; longer than two process pauses. */
const callerTimeoutMs = 700_000;

/** The fleet and the callers of a story, and the outcomes that are checked after it. */
export class StoryContext {
  readonly fleet: LocalFleet;
  readonly injector: FaultInjector;
  readonly attempts: AttemptOutcome[] = [];
  readonly violations: Violation[] = [];
  readonly isFencingChecked: boolean;
  /** Every bill ever written to a ledger page, by its key; pages retain keys only for a limited time. */
  readonly bills = new Map<string, PageBill>();
  /** Tokens of each top-up, by its id. */
  readonly topUps = new Map<string, number>();

  readonly #wrapOperatorStore: (store: ObjectStore) => ObjectStore;
  readonly #openingTokens: number;

  constructor(fleet: LocalFleet, injector: FaultInjector, options: StoryContextOptions = {}) {
    this.#wrapOperatorStore = options.wrapOperatorStore ?? ((store) => store);
    this.isFencingChecked = options.isFencingChecked ?? true;
    this.#openingTokens = options.openingTokens ?? budget.openingTokens;
    this.fleet = fleet;
    this.injector = injector;
    fleet.platform.onCommit = (object) => {
      this.#checkPage(object.key, object.value);
    };
    for (const local of fleet.instances) this.watchVersion(local);
  }

  /** Prepaid tokens, computed from the actions of the story and not read from the ledger. */
  get prepaidTokens(): number {
    return [...this.topUps.values()].reduce((sum, tokens) => sum + tokens, this.#openingTokens);
  }

  /**
   * Returns an instance by its index, from 0.
   *
   * @throws Error if there is no such instance
   */
  instance(index: number): LocalInstance {
    const local = this.fleet.instances[index];
    if (local === undefined) throw new Error(`there is no instance ${index}`);
    return local;
  }

  /** Creates the store connection of an operator, with fault injection. */
  operatorStore(name: string): FaultInjectingStore {
    const store = new MemoryObjectStore(this.fleet.platform, this.fleet.clock);
    return new FaultInjectingStore(this.injector, name, this.#wrapOperatorStore(store));
  }

  /** Sends a chat request to one instance and waits for its outcome. */
  async chat(
    index: number,
    key: string,
    options: ChatAttemptOptions = {},
  ): Promise<AttemptOutcome> {
    const local = this.instance(index);
    const outcome = this.#startAttempt('chat', key, local);
    const hangUp = new AbortController();
    const work = async () => {
      refuseWhenLeaving(local);
      for await (const frame of local.instance.chat.run(chatCall(key, options), hangUp.signal)) {
        if (frame.kind === 'final') this.#handleFinalFrame(outcome, frame);
        else outcome.text += frame.text;
        const delivered = frame.kind === 'token' ? frame.sequence + 1 : 0;
        if (delivered === options.hangUpAfterTokens) {
          outcome.hasHungUp = true;
          hangUp.abort();
          return;
        }
      }
    };
    await this.#awaitEnd(outcome, work, hangUp);
    return outcome;
  }

  /** Calls a plain service through one instance and waits for the outcome. */
  async service(index: number, key: string, method: string): Promise<AttemptOutcome> {
    const local = this.instance(index);
    const outcome = this.#startAttempt('service', key, local);
    const hangUp = new AbortController();
    await this.#awaitEnd(
      outcome,
      async () => {
        refuseWhenLeaving(local);
        outcome.response = await local.instance.services.run(
          serviceCall(key, method),
          hangUp.signal,
        );
      },
      hangUp,
    );
    return outcome;
  }

  /** Retries at the next instance, as callers do, until there is a response or an error without a retry time. */
  async retryUntilAnswered(
    attempt: (index: number) => Promise<AttemptOutcome>,
    maxAttempts = 4,
  ): Promise<AttemptOutcome> {
    for (let count = 1; ; count += 1) {
      const outcome = await attempt((count - 1) % this.fleet.instances.length);
      const isAnswered = outcome.final !== undefined || outcome.response !== undefined;
      const isFinal = outcome.error !== undefined && outcome.error.retryAfterMs === undefined;
      if (isAnswered || isFinal || count === maxAttempts) return outcome;
      await this.fleet.clock.sleep(outcome.error?.retryAfterMs ?? 1_000);
    }
  }

  #startAttempt(kind: 'chat' | 'service', key: string, local: LocalInstance): AttemptOutcome {
    const nowMs = this.fleet.clock.monotonicMs();
    const outcome: AttemptOutcome = {
      key,
      kind,
      instanceId: local.id,
      startedMs: nowMs,
      endedMs: nowMs,
      text: '',
      final: undefined,
      response: undefined,
      error: undefined,
      hasHungUp: false,
      isCrashed: false,
      hasTimedOut: false,
    };
    this.attempts.push(outcome);
    return outcome;
  }

  /** Waits for the end of the request, the crash of the instance or the timeout of the caller. */
  async #awaitEnd(
    outcome: AttemptOutcome,
    work: () => Promise<void>,
    hangUp: AbortController,
  ): Promise<void> {
    const { clock } = this.fleet;
    const crashed = this.injector.whenCrashed(outcome.instanceId).then(() => {
      outcome.isCrashed = true;
    });
    const timeoutAbort = new AbortController();
    const timedOut = clock.sleep(callerTimeoutMs, timeoutAbort.signal).then(() => {
      if (!timeoutAbort.signal.aborted) outcome.hasTimedOut = true;
    });
    const finished = work().catch((thrown: unknown) => {
      outcome.error = toRouterError(thrown);
    });
    await Promise.race([finished, crashed, timedOut]);
    timeoutAbort.abort();
    if (outcome.hasTimedOut) hangUp.abort();
    outcome.endedMs = clock.monotonicMs();
  }

  /** Checks that the bill is in the store at the time at which the caller receives the final frame. */
  #handleFinalFrame(outcome: AttemptOutcome, final: ChatFinalFrame): void {
    outcome.final = final;
    const pages = this.fleet.platform.objects().filter(({ key }) => key.startsWith('ledger/'));
    const isBilled = pages
      .map((object) => parsePage(object.key, object.value))
      .some((page) =>
        Object.values(page.budgets).some(
          ({ bills }) => bills[`${budget.budgetId}/${outcome.key}`] !== undefined,
        ),
      );
    if (!isBilled) this.#reportViolation('billBeforeFinalFrame', `${outcome.key} had no bill`);
  }

  #checkPage(key: string, value: unknown): void {
    if (!key.startsWith('ledger/')) return;
    for (const [budgetId, entry] of Object.entries(parsePage(key, value).budgets)) {
      const granted = Object.values(entry.grants).reduce((sum, grant) => sum + grant.tokens, 0);
      for (const [requestKey, bill] of Object.entries(entry.bills))
        this.#recordBill(requestKey, bill);
      const used = entry.settledTokens + granted;
      if (used <= this.prepaidTokens) continue;
      this.#reportViolation('overspend', `${budgetId}: ${used} of ${this.prepaidTokens}`);
    }
  }

  #recordBill(requestKey: string, bill: PageBill): void {
    const earlier = this.bills.get(requestKey);
    this.bills.set(requestKey, bill);
    if (earlier === undefined || earlier.requestId === bill.requestId) return;
    this.#reportViolation(
      'oneBillPerKey',
      `${requestKey}: ${earlier.requestId}, then ${bill.requestId}`,
    );
  }

  /** Checks from now on that an instance never applies a lower configuration version. */
  watchVersion(local: LocalInstance): void {
    let highest = 0;
    const { configuration } = local.instance;
    configuration.inForce.follow(
      (inForce) => {
        const version = inForce?.version ?? 0;
        if (version < highest) {
          this.#reportViolation('versionNeverFalls', `${local.id}: ${version} after ${highest}`);
        }
        highest = Math.max(highest, version);
      },
      () => undefined,
    );
  }

  #reportViolation(invariant: Violation['invariant'], what: string): void {
    this.violations.push({ invariant, what });
  }
}

/** Refuses a request while the instance is leaving, as the HTTP server does before its handlers. */
function refuseWhenLeaving({ id, instance }: LocalInstance): void {
  if (!instance.isAccepting) throw new RouterError('instanceLeaving', `${id} is leaving`);
}

const identity = {
  accountKey,
  budgetId: budget.budgetId,
  className: 'shift' as ClassName,
};

function chatCall(key: string, { context }: ChatAttemptOptions): ChatCall {
  const shared = context === undefined ? [] : [{ role: 'system', content: context }];
  const messages = [...shared, { role: 'user', content: key }];
  return { ...identity, idempotencyKey: key, model: 'small', messages, maxTokens: 40 };
}

function serviceCall(key: string, method: string): ServiceCall {
  const body = method === 'GET' ? new Uint8Array() : Buffer.from(key);
  const path = `/certificates/${key}`;
  return { ...identity, idempotencyKey: key, service: 'records', method, path, headers: {}, body };
}
