/**
 * A local fleet that serves seeded chat calls, for experiments on token streams.
 */
import {
  createRandom,
  digestText,
  type BudgetId,
  type ClassName,
  type Random,
} from '@acaciacrank/base';
import type { ChatCall, ChatFinalFrame } from '@acaciacrank/callers';
import { FixedGrantPolicy } from '@acaciacrank/ledger';
import type { InstanceOptions } from '@acaciacrank/router';
import { createLocalFleet, type LocalFleet } from '../../createLocalFleet/index.js';
import type { EngineRecord, StandinEngineOptions } from '../../StandinEngine/index.js';

const document = `environment: streams
classes:
  - { name: review, firstTokenDeadlineMs: 60000, totalDeadlineMs: 300000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 200 }
  - { name: records, kind: plain }
accounts:
  - id: one
    keyDigests: [${digestText('secret')}]
    budgets:
      - { id: one-2026, openingTokens: 100000000 }
`;

/** Options of {@link StreamLoad.start}. */
export interface StreamLoadOptions {
  seed: number;
  engineOptions?: Partial<StandinEngineOptions>;
  instanceOptions?: Partial<InstanceOptions>;
  /** Wraps the instance's dependencies, for example to inject faults. */
  wrap?: (options: InstanceOptions) => InstanceOptions;
}

/** The result of a call as its caller observed it. */
export interface CallOutcome {
  final: ChatFinalFrame | undefined;
  tokens: number;
  /** Longest time between two consecutive frames, in milliseconds. */
  longestGapMs: number;
}

/** One instance and four engines; the experiment makes the calls. */
export class StreamLoad implements AsyncDisposable {
  readonly fleet: LocalFleet;
  readonly random: Random;

  private constructor(fleet: LocalFleet, random: Random) {
    this.fleet = fleet;
    this.random = random;
  }

  static async start(options: StreamLoadOptions): Promise<StreamLoad> {
    const { seed, engineOptions = {}, instanceOptions = {}, wrap } = options;
    const fleet = await createLocalFleet({
      document,
      seed,
      instances: 1,
      engines: 4,
      engineOptions,
      instanceOptions: { grantPolicy: new FixedGrantPolicy(10_000_000), ...instanceOptions },
      ...(wrap === undefined ? {} : { wrap }),
    });
    return new StreamLoad(fleet, createRandom(seed));
  }

  get instance() {
    const [first] = this.fleet.instances;
    if (first === undefined) throw new Error('the fleet has no instance');
    return first.instance;
  }

  get records(): EngineRecord[] {
    return [...this.fleet.clients.engines.values()].flatMap(({ records }) => [...records.values()]);
  }

  /** Creates a call with a prompt and an idempotency key of its own. */
  createCall(index: number): ChatCall {
    return {
      accountKey: 'secret',
      budgetId: 'one-2026' as BudgetId,
      className: 'review' as ClassName,
      idempotencyKey: `call-${index}`,
      model: 'small',
      messages: [{ role: 'user', content: `${index} ${this.random()}`.padEnd(200, 'broth ') }],
      maxTokens: 200,
    };
  }

  /** Makes a call and reads its stream to the end; a stream that breaks off is not thrown. */
  async read(
    call: ChatCall,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<CallOutcome> {
    const { clock } = this.fleet;
    const outcome: CallOutcome = { final: undefined, tokens: 0, longestGapMs: 0 };
    let previousFrameMs: number | undefined;
    try {
      for await (const frame of this.instance.chat.run(call, signal)) {
        const nowMs = clock.monotonicMs();
        outcome.longestGapMs = Math.max(outcome.longestGapMs, nowMs - (previousFrameMs ?? nowMs));
        previousFrameMs = nowMs;
        if (frame.kind === 'final') outcome.final = frame;
        else outcome.tokens += 1;
      }
    } catch {
      // The missing final frame shows that the stream broke off.
    }
    return outcome;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve(this.fleet[Symbol.asyncDispose]());
  }
}

/** The value below which `share` (0 to 1) of the values lie, rounded; 0 without values. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return Math.round(sorted[index] ?? 0);
}
