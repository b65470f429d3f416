/**
 * Rolling replacement of all instances of a fleet under load.
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

/** Options of {@link replaceAllInstances}. */
export interface ReplaceAllInstancesOptions {
  seed: number;
  instances?: number;
  /** Mean time between two requests, in milliseconds. */
  requestEveryMs?: number;
  /** Delay until a change shows in the platform's instance list, in milliseconds. */
  listLagMs?: number;
}

/** Outcomes of the requests and of the planned stops. */
export interface ReplaceAllInstancesResult {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly brokenOff: number;
  /** Requests that were cut off because an instance stopped. */
  readonly cutOff: number;
  readonly replaced: number;
  readonly durationMs: number;
  /** Kinds of all errors that callers received. */
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

/**
 * A caller of one client account in one failure domain. It caches the directory's response and calls
 * the first instance in it.
 */
class Caller {
  readonly #fleet: LocalFleet;
  readonly #account: string;
  readonly #callerDomain: string;
  #directoryResponse: DirectoryResponse | undefined;
  #fetchedAtMs = 0;
  #callCount = 0;

  constructor(fleet: LocalFleet, account: string, callerDomain: string) {
    this.#fleet = fleet;
    this.#account = account;
    this.#callerDomain = callerDomain;
  }

  /**
   * Makes one call to the first instance that the directory returns.
   *
   * @throws RouterError when the request is refused or the stream breaks
   */
  async call(onFrame: () => void): Promise<void> {
    this.#callCount += 1;
    const local = this.#findInstance(this.#lookUpDirectory().instances[0]?.id ?? '');
    if (!local.instance.isAccepting)
      throw new RouterError('instanceLeaving', `${local.id} is leaving`);
    using openRequest = local.instance.beginRequest(this.#key);
    const call: ChatCall = {
      accountKey: this.#key,
      budgetId: `${this.#account}-2026` as BudgetId,
      className: 'shift' as ClassName,
      idempotencyKey: `${this.#account}-${this.#callerDomain}-${this.#callCount}`,
      model: 'small',
      messages: [{ role: 'user', content: `${this.#account} asks ${this.#callCount}` }],
      // One call in ten is a long review, which takes longer than a directory response is valid.
      maxTokens: this.#callCount % 10 === 0 ? 600 : 40,
    };
    for await (const frame of local.instance.chat.run(call, new AbortController().signal)) {
      onFrame();
      if (frame.kind === 'final') return;
    }
    throw new RouterError('upstreamFailed', 'the stream ended without a final frame');
  }

  get #key(): string {
    return `key-${this.#account}`;
  }

  #lookUpDirectory(): DirectoryResponse {
    const nowMs = this.#fleet.clock.monotonicMs();
    if (
      this.#directoryResponse !== undefined &&
      nowMs - this.#fetchedAtMs < this.#directoryResponse.keepMs
    ) {
      return this.#directoryResponse;
    }
    const currentId = this.#directoryResponse?.instances[0]?.id;
    const directoryInstance =
      this.#fleet.instances.find(({ id }) => id === currentId) ?? this.#fleet.instances[0];
    if (directoryInstance === undefined)
      throw new RouterError('peerUnavailable', 'the fleet has no instance');
    this.#directoryResponse = directoryInstance.instance.findInstances(
      this.#key,
      this.#callerDomain,
    );
    this.#fetchedAtMs = nowMs;
    return this.#directoryResponse;
  }

  #findInstance(id: string): LocalInstance {
    const local = this.#fleet.instances.find((candidate) => candidate.id === id);
    if (local !== undefined) return local;
    throw new RouterError('peerUnavailable', `no instance listens at ${id}`);
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
  const pendingCalls: Promise<void>[] = [];
  while (!signal.aborted) {
    await fleet.clock.sleep(-Math.log(1 - random()) * meanGapMs, signal);
    const caller = callers[Math.floor(random() * callers.length)];
    if (caller !== undefined && !signal.aborted) pendingCalls.push(makeCall(caller, tally));
  }
  await Promise.all(pendingCalls);
}

/**
 * Stops one instance as the platform does, and starts another one with the same id.
 *
 * @returns the number of requests that were cut off
 */
async function replaceInstance(fleet: LocalFleet, local: LocalInstance): Promise<number> {
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
 * Replaces every instance once under load, in virtual time.
 *
 * @param options - seed, sizes, load and list lag
 * @returns outcomes of the requests and of the planned stops
 */
export async function replaceAllInstances(
  options: ReplaceAllInstancesOptions,
): Promise<ReplaceAllInstancesResult> {
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
    if (local !== undefined) cutOff += await replaceInstance(fleet, local);
  }
  stop.abort();
  await fleet.clock.runUntil(load);
  const durationMs = Math.round(fleet.clock.monotonicMs() - startMs);
  return { ...tally, cutOff, replaced: ids.length, durationMs };
}
