import { toRouterError, RouterError, type ClassName } from '@acaciacrank/base';
import type { ChatCall, ChatFinalFrame, ServiceCall } from '@acaciacrank/callers';
import { parsePage, type PageBill } from '@acaciacrank/ledger';
import type { ObjectStore } from '@acaciacrank/store';
import type { ServiceResponse } from '@acaciacrank/upstreams';
import type { LocalFleet, LocalInstance } from '../../createLocalFleet/index.js';
import { MemoryObjectStore } from '@acaciacrank/store';
import { accountKey, budget } from '../document.js';
import type { StepGate } from '../StepGate/index.js';
import type { Violation } from '../types.js';
import { GatedStore } from '../wrapInstance/index.js';

/** What one call at one instance came to, as its caller saw it. */
export interface AttemptOutcome {
  readonly key: string;
  readonly kind: 'chat' | 'service';
  readonly instanceId: string;
  readonly startedMs: number;
  endedMs: number;
  text: string;
  final: ChatFinalFrame | undefined;
  answer: ServiceResponse | undefined;
  error: RouterError | undefined;
  /** The caller hung up before the end. */
  hasHungUp: boolean;
  /** The connection broke because the instance crashed. */
  isCrashed: boolean;
  /** The caller waited as long as it ever waits. */
  isStuck: boolean;
}

/** Options of a chat attempt. */
export interface ChatAttemptOptions {
  /** The caller hangs up after this many tokens. */
  hangUpAfterTokens?: number;
}

/** Options of {@link StoryContext}. */
export interface StoryContextOptions {
  /** What the budget opens with, in tokens. */
  openingTokens?: number;
  /** Whether engines check fencing numbers; only a deliberate break says no. */
  areNumbersChecked?: boolean | undefined;
  /** A deliberate break of operators' connections. */
  changeStore?: ((store: ObjectStore) => ObjectStore) | undefined;
}

/** How long a caller waits for an answer, in milliseconds; longer than two pauses. */
const callerPatienceMs = 700_000;

/** What a story acts with, and what it leaves to be checked. */
export class StoryContext {
  readonly fleet: LocalFleet;
  readonly gate: StepGate;
  readonly attempts: AttemptOutcome[] = [];
  readonly violations: Violation[] = [];
  readonly areNumbersChecked: boolean;
  /** Every bill that ever stood in a page, by its key; pages keep keys for a while only. */
  readonly bills = new Map<string, PageBill>();
  /** Top-up ids that were used, with their tokens. */
  readonly topUps = new Map<string, number>();

  readonly #changeStore: (store: ObjectStore) => ObjectStore;
  readonly #openingTokens: number;

  constructor(fleet: LocalFleet, gate: StepGate, options: StoryContextOptions = {}) {
    this.#changeStore = options.changeStore ?? ((store) => store);
    this.areNumbersChecked = options.areNumbersChecked ?? true;
    this.#openingTokens = options.openingTokens ?? budget.openingTokens;
    this.fleet = fleet;
    this.gate = gate;
    fleet.platform.onCommit = (object) => {
      this.#checkPage(object.key, object.value);
    };
    for (const local of fleet.instances) this.watchVersion(local);
  }

  /** What was prepaid, by what the story did and not by what the ledger says. */
  get prepaidTokens(): number {
    return [...this.topUps.values()].reduce((sum, tokens) => sum + tokens, this.#openingTokens);
  }

  /** An instance by its place, 0 first. */
  instance(index: number): LocalInstance {
    const local = this.fleet.instances[index];
    if (local === undefined) throw new Error(`there is no instance ${index}`);
    return local;
  }

  /** An operator's own store connection, behind the gate. */
  operatorStore(name: string): GatedStore {
    const store = new MemoryObjectStore(this.fleet.platform, this.fleet.clock);
    return new GatedStore(this.gate, name, this.#changeStore(store));
  }

  /** Calls one instance and waits for the end, whatever it is. */
  async chat(
    index: number,
    key: string,
    options: ChatAttemptOptions = {},
  ): Promise<AttemptOutcome> {
    const local = this.instance(index);
    const outcome = this.#begin('chat', key, local);
    const hangUp = new AbortController();
    const work = async () => {
      refuseWhenLeaving(local);
      for await (const frame of local.instance.chat.run(chatCall(key), hangUp.signal)) {
        if (frame.kind === 'final') this.#takeFinal(outcome, frame);
        else outcome.text += frame.text;
        const delivered = frame.kind === 'token' ? frame.sequence + 1 : 0;
        if (delivered === options.hangUpAfterTokens) {
          outcome.hasHungUp = true;
          hangUp.abort();
          return;
        }
      }
    };
    await this.#finish(outcome, work, hangUp);
    return outcome;
  }

  /** Calls a plain service at one instance and waits for the end, whatever it is. */
  async service(index: number, key: string, method: string): Promise<AttemptOutcome> {
    const local = this.instance(index);
    const outcome = this.#begin('service', key, local);
    const hangUp = new AbortController();
    await this.#finish(
      outcome,
      async () => {
        refuseWhenLeaving(local);
        outcome.answer = await local.instance.services.run(serviceCall(key, method), hangUp.signal);
      },
      hangUp,
    );
    return outcome;
  }

  /** Retries as callers do: at the next instance, until there is an answer or no use in more. */
  async untilAnswered(
    attempt: (index: number) => Promise<AttemptOutcome>,
    maxAttempts = 4,
  ): Promise<AttemptOutcome> {
    for (let count = 1; ; count += 1) {
      const outcome = await attempt((count - 1) % this.fleet.instances.length);
      const isAnswered = outcome.final !== undefined || outcome.answer !== undefined;
      const isFinal = outcome.error !== undefined && outcome.error.retryAfterMs === undefined;
      if (isAnswered || isFinal || count === maxAttempts) return outcome;
      await this.fleet.clock.sleep(outcome.error?.retryAfterMs ?? 1_000);
    }
  }

  #begin(kind: 'chat' | 'service', key: string, local: LocalInstance): AttemptOutcome {
    const nowMs = this.fleet.clock.monotonicMs();
    const outcome: AttemptOutcome = {
      key,
      kind,
      instanceId: local.id,
      startedMs: nowMs,
      endedMs: nowMs,
      text: '',
      final: undefined,
      answer: undefined,
      error: undefined,
      hasHungUp: false,
      isCrashed: false,
      isStuck: false,
    };
    this.attempts.push(outcome);
    return outcome;
  }

  /** The request's work, the instance's crash and the caller's patience race. */
  async #finish(
    outcome: AttemptOutcome,
    work: () => Promise<void>,
    hangUp: AbortController,
  ): Promise<void> {
    const { clock } = this.fleet;
    const crashed = this.gate.whenDead(outcome.instanceId).then(() => {
      outcome.isCrashed = true;
    });
    const patience = new AbortController();
    const stuck = clock.sleep(callerPatienceMs, patience.signal).then(() => {
      if (!patience.signal.aborted) outcome.isStuck = true;
    });
    const done = work().catch((thrown: unknown) => {
      outcome.error = toRouterError(thrown);
    });
    await Promise.race([done, crashed, stuck]);
    patience.abort();
    if (outcome.isStuck) hangUp.abort();
    outcome.endedMs = clock.monotonicMs();
  }

  /** The bill must be in the store at the moment when the caller receives the final frame. */
  #takeFinal(outcome: AttemptOutcome, final: ChatFinalFrame): void {
    outcome.final = final;
    const pages = this.fleet.platform.objects().filter(({ key }) => key.startsWith('ledger/'));
    const isBilled = pages
      .map((object) => parsePage(object.key, object.value))
      .some((page) =>
        Object.values(page.budgets).some(
          ({ bills }) => bills[`${budget.budgetId}/${outcome.key}`] !== undefined,
        ),
      );
    if (!isBilled) this.#violate('billBeforeFinalFrame', `${outcome.key} had no bill`);
  }

  #checkPage(key: string, value: unknown): void {
    if (!key.startsWith('ledger/')) return;
    for (const [budgetId, entry] of Object.entries(parsePage(key, value).budgets)) {
      const granted = Object.values(entry.grants).reduce((sum, grant) => sum + grant.tokens, 0);
      for (const [requestKey, bill] of Object.entries(entry.bills)) this.#seeBill(requestKey, bill);
      const used = entry.settledTokens + granted;
      if (used <= this.prepaidTokens) continue;
      this.#violate('overspend', `${budgetId}: ${used} of ${this.prepaidTokens}`);
    }
  }

  #seeBill(requestKey: string, bill: PageBill): void {
    const known = this.bills.get(requestKey);
    this.bills.set(requestKey, bill);
    if (known === undefined || known.requestId === bill.requestId) return;
    this.#violate('oneBillPerKey', `${requestKey}: ${known.requestId}, then ${bill.requestId}`);
  }

  /** Watches that an instance never acts on a lower version. */
  watchVersion(local: LocalInstance): void {
    let highest = 0;
    const { configuration } = local.instance;
    configuration.inForce.follow(
      (inForce) => {
        const version = inForce?.version ?? 0;
        if (version < highest) {
          this.#violate('versionNeverFalls', `${local.id}: ${version} after ${highest}`);
        }
        highest = Math.max(highest, version);
      },
      () => undefined,
    );
  }

  #violate(invariant: Violation['invariant'], what: string): void {
    this.violations.push({ invariant, what });
  }
}

/** As the server before the handlers does. */
function refuseWhenLeaving({ id, instance }: LocalInstance): void {
  if (!instance.isAccepting) throw new RouterError('instanceLeaving', `${id} is leaving`);
}

const identity = {
  accountKey,
  budgetId: budget.budgetId,
  className: 'shift' as ClassName,
};

function chatCall(key: string): ChatCall {
  const messages = [{ role: 'user', content: key }];
  return { ...identity, idempotencyKey: key, model: 'small', messages, maxTokens: 40 };
}

function serviceCall(key: string, method: string): ServiceCall {
  const body = method === 'GET' ? new Uint8Array() : Buffer.from(key);
  const path = `/certificates/${key}`;
  return { ...identity, idempotencyKey: key, service: 'records', method, path, headers: {}, body };
}
