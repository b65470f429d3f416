import { withTimeout, type AccountId, type Clock, type InstanceId } from '@acaciacrank/base';
import type { FleetQuestions } from '@acaciacrank/fleet';
import {
  PrepaidPeers,
  type LoanAnswer,
  type LoanHandler,
  type LoanQuestion,
} from '@acaciacrank/ledger';
import { rankByKey } from '@acaciacrank/routing';

/** Options of {@link FleetPrepaidPeers}. */
export interface FleetPrepaidPeersOptions {
  questions: FleetQuestions;
  clock: Clock;
  instanceId: InstanceId;
  /** The instances that share the accounts now, this one included. */
  live: () => readonly InstanceId[];
  /** Called when a peer stops or begins again to answer. */
  onReach: (peer: InstanceId, isReached: boolean) => void;
}

/** How long a peer has to answer, in milliseconds; a request waits for it. Links take 1 to 3. */
const answerLimitMs = 200;
/**
 * How long a question may wait here for the store, in milliseconds. Well under {@link answerLimitMs},
 * so that a slow store is not taken for a peer that is gone.
 */
const storeWaitMs = 100;
/** How long a peer that did not answer is not asked again, in milliseconds: a few links' silence. */
const unreachedMs = 2_000;

/** The other instances as holders of prepaid tokens, over the links between instances. */
export class FleetPrepaidPeers extends PrepaidPeers {
  readonly #options: FleetPrepaidPeersOptions;
  /** Peers that did not answer, and until when they are passed over. */
  readonly #unreached = new Map<InstanceId, number>();

  constructor(options: FleetPrepaidPeersOptions) {
    super();
    this.#options = options;
  }

  override homeOf(accountId: AccountId): InstanceId | undefined {
    const [first] = this.#ranked(accountId);
    return first === this.#options.instanceId ? undefined : first;
  }

  override backupOf(accountId: AccountId): InstanceId | undefined {
    const [, ...rest] = this.#ranked(accountId);
    return rest.find((id) => id !== this.#options.instanceId);
  }

  override async ask(peer: InstanceId, question: LoanQuestion): Promise<LoanAnswer | undefined> {
    const { questions } = this.#options;
    try {
      const asked = { kind: 'prepaidTokens', loan: question } as const;
      const { lender, lentTokens, outcome } = await questions.ask(peer, asked, {
        timeoutMs: answerLimitMs,
      });
      if (this.#unreached.delete(peer)) this.#options.onReach(peer, true);
      return { lender, lentTokens, outcome };
    } catch {
      this.#noteUnreached(peer);
      return undefined;
    }
  }

  override serve(handler: LoanHandler): Disposable {
    return this.#options.questions.answer('prepaidTokens', async ({ loan }) => ({
      kind: 'prepaidTokens',
      ...(await this.#answer(loan, handler)),
    }));
  }

  #ranked(accountId: AccountId): readonly InstanceId[] {
    const candidates = this.#options.live().filter((id) => !this.#isUnreached(id));
    const ranked = rankByKey(
      accountId,
      candidates.map((id) => ({ id })),
    );
    return ranked.map(({ id }) => id);
  }

  /** What is lent after the wait ended is told by the next answer. */
  async #answer(loan: LoanQuestion, handler: LoanHandler): Promise<LoanAnswer> {
    const bounds = { kind: 'storeUnavailable', what: 'tokens for a peer' } as const;
    const answering = handler(loan);
    try {
      return await withTimeout(this.#options.clock, storeWaitMs, () => answering, bounds);
    } catch {
      const settled = await handler({ ...loan, neededTokens: 0, wantedTokens: 0 });
      return { ...settled, outcome: 'storeAway' };
    }
  }

  #noteUnreached(peer: InstanceId): void {
    const { clock, onReach } = this.#options;
    if (!this.#unreached.has(peer)) onReach(peer, false);
    this.#unreached.set(peer, clock.monotonicMs() + unreachedMs);
  }

  #isUnreached(peer: InstanceId): boolean {
    const untilMs = this.#unreached.get(peer);
    return untilMs !== undefined && this.#options.clock.monotonicMs() < untilMs;
  }
}
