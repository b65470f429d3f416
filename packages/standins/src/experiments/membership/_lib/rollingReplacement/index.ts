/**
 * Replaces all instances of a fleet, one after the other, while callers go on.
 */
import {
  createRandom,
  toRouterError,
  digestText,
  RouterError,
  type BudgetId,
  type ClassName,
  type InstanceId,
  type Random,
} from '@acaciacrank/base';
import type { ChatCall, DirectoryResponse } from '@acaciacrank/callers';
import {
  createLocalFleet,
  type LocalFleet,
  type LocalInstance,
} from '../../../../createLocalFleet/index.js';

/** Options of {@link replaceAll}. */
export interface ReplaceAllOptions {
  seed: number;
  instances?: number;
  /** Mean time between two requests, in milliseconds. */
  requestEveryMs?: number;
  /** How far the platform's list lags, in milliseconds. */
  listLagMs?: number;
}

/** What callers saw, and what the stops came to. */
export interface ReplaceAllResult {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly brokenOff: number;
  /** Requests that the stops cut off. */
  readonly cutOff: number;
  readonly replaced: number;
  readonly durationMs: number;
  /** The kinds of all errors that callers saw. */
  readonly errors: readonly string[];
}

const accounts = ['one', 'two', 'three', 'four', 'five', 'six'];
const domains = ['fd1', 'fd2', 'fd3'];
const document = `environment: rolling
classes:
  - { name: shift, firstTokenDeadlineMs: 5000, totalDeadlineMs: 60000 }
services:
  - { name: tutor, kind: engines, models: [small], checksFencing: true, maxOutputTokens: 600 }
  - { name: records, kind: plain, tokensPerCall: 5 }
accounts:
${accounts
  .map(
    (id) => `  - id: ${id}
    keyDigests: [${digestText(`key-${id}`)}]
    budgets: [{ id: ${id}-2026, openingTokens: 100000000 }]`,
  )
  .join('\n')}
`;

/** One client account's caller: asks the directory, keeps the answer, goes where it says. */
class Caller {
  readonly #fleet: LocalFleet;
  readonly #account: string;
  readonly #near: string;
  #answer: DirectoryResponse | undefined;
  #askedAtMs = 0;
  #calls = 0;

  constructor(fleet: LocalFleet, account: string, near: string) {
    this.#fleet = fleet;
    this.#account = account;
    this.#near = near;
  }

  /**
   * Makes one call at the first instance that the directory names.
   *
   * @throws RouterError of the refusal, or of the break
   */
  async call(onFrame: () => void): Promise<void> {
    this.#calls += 1;
    const local = this.#find(this.#directory().instances[0]?.id ?? '');
    if (!local.instance.isAccepting) throw new RouterError('instanceLeaving', `${local.id} leaves`);
    using underWay = local.instance.beginRequest(this.#key);
    const call: ChatCall = {
      accountKey: this.#key,
      budgetId: `${this.#account}-2026` as BudgetId,
      className: 'shift' as ClassName,
      idempotencyKey: `${this.#account}-${this.#near}-${this.#calls}`,
      model: 'small',
      messages: [{ role: 'user', content: `${this.#account} asks ${this.#calls}` }],
      // One call in ten is a long review, which outlasts the time of a directory answer.
      maxTokens: this.#calls % 10 === 0 ? 600 : 40,
    };
    for await (const frame of local.instance.chat.run(call, new AbortController().signal)) {
      onFrame();
      if (frame.kind === 'final') return;
    }
    throw new RouterError('upstreamFailed', 'the answer had no end');
  }

  get #key(): string {
    return `key-${this.#account}`;
  }

  #directory(): DirectoryResponse {
    const nowMs = this.#fleet.clock.monotonicMs();
    if (this.#answer !== undefined && nowMs - this.#askedAtMs < this.#answer.keepMs) {
      return this.#answer;
    }
    const known = this.#answer?.instances[0]?.id;
    const asked = this.#fleet.instances.find(({ id }) => id === known) ?? this.#fleet.instances[0];
    if (asked === undefined) throw new RouterError('peerUnavailable', 'there is no instance');
    this.#answer = asked.instance.findInstances(this.#key, this.#near);
    this.#askedAtMs = nowMs;
    return this.#answer;
  }

  #find(id: string): LocalInstance {
    const local = this.#fleet.instances.find((candidate) => candidate.id === id);
    if (local !== undefined) return local;
    throw new RouterError('peerUnavailable', `nothing listens at ${id}`);
  }
}

interface Tally {
  requests: number;
  answered: number;
  refused: number;
  brokenOff: number;
  errors: string[];
}

async function makeCall(caller: Caller, tally: Tally): Promise<void> {
  let frames = 0;
  tally.requests += 1;
  try {
    await caller.call(() => {
      frames += 1;
    });
    tally.answered += 1;
  } catch (thrown) {
    tally.errors.push(toRouterError(thrown).kind);
    if (frames === 0) tally.refused += 1;
    else tally.brokenOff += 1;
  }
}

async function sendLoad(
  fleet: LocalFleet,
  random: Random,
  meanGapMs: number,
  tally: Tally,
  signal: AbortSignal,
): Promise<void> {
  const callers = accounts.flatMap((account) =>
    domains.map((domain) => new Caller(fleet, account, domain)),
  );
  const underWay: Promise<void>[] = [];
  while (!signal.aborted) {
    await fleet.clock.sleep(-Math.log(1 - random()) * meanGapMs, signal);
    const caller = callers[Math.floor(random() * callers.length)];
    if (caller !== undefined && !signal.aborted) underWay.push(makeCall(caller, tally));
  }
  await Promise.all(underWay);
}

/** Stops one instance as the platform does, and starts one in its place. */
async function replace(fleet: LocalFleet, local: LocalInstance): Promise<number> {
  const { clock, platform, instances } = fleet;
  const listed = platform.instances().find(({ id }) => id === local.id);
  if (listed !== undefined) platform.setInstance({ ...listed, state: 'leaving' });
  const { cutOffRequests } = await clock.runUntil(local.instance.drain(600_000));
  local.links[Symbol.dispose]();
  await clock.runUntil(local.instance[Symbol.asyncDispose]());
  platform.removeInstance(local.id);
  instances.splice(instances.indexOf(local), 1);
  await clock.advance(1_000);
  await fleet.addInstance(local.id, listed?.failureDomain);
  await clock.advance(5_000);
  return cutOffRequests;
}

/**
 * Replaces every instance once, under load, on virtual time.
 *
 * @param options - seed, sizes, load and lag
 * @returns what callers saw
 */
export async function replaceAll(options: ReplaceAllOptions): Promise<ReplaceAllResult> {
  const { seed, instances = 5, requestEveryMs = 60, listLagMs = 3_000 } = options;
  await using fleet = await createLocalFleet({ document, seed, instances, engines: 4 });
  fleet.platform.listLagMs = listLagMs;
  const tally: Tally = { requests: 0, answered: 0, refused: 0, brokenOff: 0, errors: [] };
  const stop = new AbortController();
  await fleet.clock.advance(5_000);
  const startMs = fleet.clock.monotonicMs();
  const load = sendLoad(fleet, createRandom(seed), requestEveryMs, tally, stop.signal);
  const ids = fleet.instances.map(({ id }): InstanceId => id);
  let cutOff = 0;
  for (const id of ids) {
    const local = fleet.instances.find((candidate) => candidate.id === id);
    if (local !== undefined) cutOff += await replace(fleet, local);
  }
  stop.abort();
  await fleet.clock.runUntil(load);
  const durationMs = Math.round(fleet.clock.monotonicMs() - startMs);
  return { ...tally, cutOff, replaced: ids.length, durationMs };
}
