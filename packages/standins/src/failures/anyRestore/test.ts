import test from 'ava';
import type { PlatformCopy } from '@acaciacrank/store';
import fc from 'fast-check';
import {
  accountId,
  createRestorableSimulation,
  restoreStore,
  spend,
  startHolder,
  type Holder,
  type PrepaidSimulation,
} from '../../_lib/prepaidSimulation/index.js';

/** What happens in one step of a second. */
type Event =
  | { readonly kind: 'spend'; readonly tokens: number }
  | { readonly kind: 'kill' | 'cutStore' | 'isolate'; readonly holder: number }
  | { readonly kind: 'killAll' }
  | { readonly kind: 'restore'; readonly ageS: number };

const holderCount = 3;
const holderArbitrary = fc.integer({ min: 0, max: holderCount - 1 });
const eventArbitrary: fc.Arbitrary<Event> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant('spend' as const), tokens: fc.nat(30_000) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('kill' as const, 'cutStore' as const, 'isolate' as const),
      holder: holderArbitrary,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('killAll' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('restore' as const),
      ageS: fc.integer({ min: 0, max: 20 }),
    }),
  },
);

const prepaidTokens = 1_000_000;
const faults = { lost: 0.1, late: 0.1 };

/** What was spent, and what those that run could still spend without asking anybody. */
function committedTokens({ spentTokens, holders }: PrepaidSimulation, living: readonly Holder[]) {
  const stocks = holders
    .filter((holder) => living.includes(holder))
    .map(({ ledger }) => Math.max(0, ledger.stockTokens(accountId)));
  return stocks.reduce((sum, tokens) => sum + tokens, spentTokens);
}

class RestoreRun {
  readonly simulation: PrepaidSimulation;
  readonly living: Holder[];
  readonly #copies: PlatformCopy[] = [];

  constructor(seed: number) {
    this.simulation = createRestorableSimulation(seed, prepaidTokens);
    this.living = Array.from({ length: holderCount }, (_, index) =>
      startHolder(this.simulation, index, faults),
    );
  }

  /** Runs one second with one event in it. */
  async step(event: Event): Promise<void> {
    this.#copies.push(this.simulation.platform.copy());
    await this.#apply(event);
    for (const holder of this.living) await spend(this.simulation, holder, 2_000);
    await this.simulation.clock.advance(1_000);
  }

  async #apply(event: Event): Promise<void> {
    const { isolated } = this.simulation;
    if (event.kind === 'spend') {
      for (const holder of this.living) await spend(this.simulation, holder, event.tokens);
    } else if (event.kind === 'restore') {
      const copy = this.#copies.at(-1 - event.ageS) ?? this.#copies[0];
      if (copy === undefined) return;
      restoreStore(this.simulation, copy);
      this.#copies.length = this.#copies.indexOf(copy) + 1;
    } else if (event.kind === 'killAll') {
      for (let index = 0; index < holderCount; index += 1) this.#restart(index);
    } else if (event.kind === 'kill') this.#restart(event.holder);
    else {
      const holder = this.living[event.holder];
      if (holder === undefined) return;
      const id = holder.processRun.instanceId;
      if (event.kind === 'cutStore') holder.cut.isUnavailable = !holder.cut.isUnavailable;
      else if (!isolated.delete(id)) isolated.add(id);
    }
  }

  #restart(index: number): void {
    this.living[index]?.stop();
    this.living[index] = startHolder(this.simulation, index, faults);
  }

  end(): void {
    for (const { stop } of this.living) stop();
  }
}

// Guards against an account that spends more than it prepaid: the store returns from copies up to
// 20 s old, again and again, while instances die, are cut off and have writes executed late.
test('an account never spends more than it prepaid over any restores of the store', async (t) => {
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 1_000_000 }),
    fc.array(eventArbitrary, { minLength: 20, maxLength: 60 }),
    async (seed, events) => {
      const run = new RestoreRun(seed);
      for (const event of events) {
        await run.step(event);
        const committed = committedTokens(run.simulation, run.living);
        if (committed > prepaidTokens) throw new Error(`${committed} tokens spent or held`);
      }
      run.end();
    },
  );
  const runs = Number(process.env['RESTORE_RUNS'] ?? 30);
  const seed = Number(process.env['RESTORE_SEED'] ?? 1);
  await fc.assert(property, { numRuns: runs, seed });
  t.pass();
});
