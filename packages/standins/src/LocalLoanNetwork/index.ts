import type { AccountId, Clock, InstanceId, Random } from '@acaciacrank/base';
import {
  PrepaidPeers,
  type LoanResponse,
  type LoanHandler,
  type LoanRequest,
} from '@acaciacrank/ledger';
import { rankByKey } from '@acaciacrank/routing';

/** What can be wrong between instances that lend each other tokens. */
export interface LocalLoanNetworkOptions {
  clock: Clock;
  random: Random;
  /** The share of questions, and of answers, that are lost on the way. */
  lostShare?: number;
  /** How long a message takes, in milliseconds. */
  delayMs?: number;
  /** Whether messages of an instance get through; all by default. */
  isConnected?: (instanceId: InstanceId) => boolean;
}

/** Instances that lend each other prepaid tokens in one process. */
export class LocalLoanNetwork {
  readonly #options: Required<LocalLoanNetworkOptions>;
  readonly #handlers = new Map<InstanceId, LoanHandler>();
  /** Questions sent, for measurements. */
  questions = 0;

  constructor(options: LocalLoanNetworkOptions) {
    this.#options = { lostShare: 0, delayMs: 1, isConnected: () => true, ...options };
  }

  /** One instance's view of the others. */
  peersOf(instanceId: InstanceId): PrepaidPeers {
    return new LocalPrepaidPeers(this, instanceId);
  }

  /** Lets an instance answer; dispose of the result when it is gone. */
  serve(instanceId: InstanceId, handler: LoanHandler): Disposable {
    this.#handlers.set(instanceId, handler);
    return {
      [Symbol.dispose]: () => {
        if (this.#handlers.get(instanceId) === handler) this.#handlers.delete(instanceId);
      },
    };
  }

  /** Where an account's stock is gathered, as one instance sees it; itself where it is cut off. */
  homeOf(accountId: AccountId, asker: InstanceId): InstanceId {
    return this.ranked(accountId, asker)[0] ?? asker;
  }

  /** The instances that one reaches, itself too, in the order in which an account falls to them. */
  ranked(accountId: AccountId, asker: InstanceId): readonly InstanceId[] {
    const ids = [...this.#handlers.keys()].filter((id) => this.#isReached(asker, id));
    const ranked = rankByKey(
      accountId,
      ids.map((id) => ({ id })),
    );
    return ranked.map(({ id }) => id);
  }

  /** Carries a question and its answer. */
  async carry(
    from: InstanceId,
    to: InstanceId,
    question: LoanRequest,
  ): Promise<LoanResponse | undefined> {
    const { clock, delayMs } = this.#options;
    this.questions += 1;
    await clock.sleep(delayMs);
    const handler = this.#handlers.get(to);
    if (handler === undefined || !this.#isReached(from, to) || this.#isLost()) return undefined;
    const answer = await handler(question);
    await clock.sleep(delayMs);
    return this.#isReached(from, to) && !this.#isLost() ? answer : undefined;
  }

  #isReached(from: InstanceId, to: InstanceId): boolean {
    const { isConnected } = this.#options;
    return from === to || (isConnected(from) && isConnected(to));
  }

  #isLost(): boolean {
    return this.#options.random() < this.#options.lostShare;
  }
}

class LocalPrepaidPeers extends PrepaidPeers {
  readonly #network: LocalLoanNetwork;
  readonly #instanceId: InstanceId;

  constructor(network: LocalLoanNetwork, instanceId: InstanceId) {
    super();
    this.#network = network;
    this.#instanceId = instanceId;
  }

  override homeOf(accountId: AccountId): InstanceId | undefined {
    const home = this.#network.homeOf(accountId, this.#instanceId);
    return home === this.#instanceId ? undefined : home;
  }

  override backupOf(accountId: AccountId): InstanceId | undefined {
    const [, ...rest] = this.#network.ranked(accountId, this.#instanceId);
    return rest.find((id) => id !== this.#instanceId);
  }

  override ask(peer: InstanceId, question: LoanRequest): Promise<LoanResponse | undefined> {
    return this.#network.carry(this.#instanceId, peer, question);
  }

  override serve(handler: LoanHandler): Disposable {
    return this.#network.serve(this.#instanceId, handler);
  }
}
