import { type ManualClock } from '@acaciacrank/base';
import { topUpBudget } from '@acaciacrank/ledger';
import { acceptDocument, manifestKey, type Manifest } from '@acaciacrank/operators';
import { createLocalFleet, type LocalFleet } from '../../createLocalFleet/index.js';
import { budget, storyDocument } from '../../faults/document.js';
import { checkRecords } from '../../faults/checkRecords/index.js';
import { FaultInjector } from '../../faults/FaultInjector/index.js';
import { StoryContext, type AttemptOutcome } from '../../faults/StoryContext/index.js';
import { wrapInstance } from '../../faults/wrapInstance/index.js';
import type { Bounds, Scenario, ScenarioEvent, ScenarioTraffic } from '../scenarioSchema/index.js';

/** Result of a scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly requests: number;
  readonly answeredPercent: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly refusedForOverload: number;
  /** Number of times that upstreams ended under deadly requests. */
  readonly endedUpstreams: number;
  readonly settledTokens: number;
  readonly version: number;
  readonly inForceMs: number;
  readonly slowestAttemptMs: number;
  /** Invariants that did not hold and expectations that were not met. */
  readonly faults: readonly string[];
}

/** Maximum number of attempts of a caller for one request. */
const maxAttempts = 6;
/** Maximum duration of the planned stop of an instance, in milliseconds. */
const stopLimitMs = 600_000;

/**
 * Runs a scenario in virtual time and checks all invariants and the expectations of the scenario.
 *
 * @param scenario - the scenario
 * @returns the measured values, failed invariants and unmet expectations
 *
 * @example
 * const { faults } = await runScenario(parseScenario(text, path));
 */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  let injector: FaultInjector | undefined;
  const getInjector = (clock: ManualClock) => (injector ??= new FaultInjector(clock, []));
  const { budgetTokens, ...sizes } = scenario.fleet;
  const fleet = await createLocalFleet({
    ...sizes,
    document: storyDocument('first', budgetTokens),
    seed: scenario.seed,
    wrap: (parts, clock) => wrapInstance(getInjector(clock), parts),
  });
  const context = new StoryContext(fleet, getInjector(fleet.clock), {
    openingTokens: budgetTokens,
  });
  const run = new ScenarioRun(scenario, context);
  const result = await run.execute();
  const runningInstances = fleet.instances.filter(({ id }) => !context.injector.hasCrashed(id));
  await fleet.clock.runUntil(
    Promise.all(runningInstances.map((local) => local.instance[Symbol.asyncDispose]())),
  );
  return result;
}

/** One run of a scenario: sends traffic and applies events, then measures the result. */
class ScenarioRun {
  readonly #scenario: Scenario;
  readonly #context: StoryContext;
  readonly #fleet: LocalFleet;
  readonly #requests: Promise<AttemptOutcome>[] = [];
  readonly #backgroundTasks: Promise<unknown>[] = [];
  #acceptedMs: number | undefined;
  #inForceMs = 0;

  constructor(scenario: Scenario, context: StoryContext) {
    this.#scenario = scenario;
    this.#context = context;
    this.#fleet = context.fleet;
  }

  async execute(): Promise<ScenarioResult> {
    const { clock } = this.#fleet;
    const startedMs = clock.monotonicMs();
    const traffic = this.#scenario.traffic.map((workload) => this.#sendTraffic(workload));
    const events = [...this.#scenario.events].sort((a, b) => a.at - b.at);
    for (const event of events) {
      await clock.advance(Math.max(0, startedMs + event.at - clock.monotonicMs()));
      await this.#applyEvent(event);
    }
    await clock.runUntil(Promise.all(traffic));
    await clock.runUntil(Promise.all(this.#requests));
    await clock.runUntil(Promise.all(this.#backgroundTasks));
    await clock.advance(this.#scenario.settle);
    return this.#measure();
  }

  async #sendTraffic(workload: ScenarioTraffic): Promise<void> {
    const { clock } = this.#fleet;
    await clock.sleep(workload.from);
    for (
      let sentMs = workload.from, index = 0;
      sentMs < workload.to;
      sentMs += workload.every, index += 1
    ) {
      this.#requests.push(this.#request(workload, `${workload.name}-${index}`));
      await clock.sleep(workload.every);
    }
  }

  /** Simulates one caller, which retries on another instance of the directory after an error. */
  async #request(workload: ScenarioTraffic, key: string): Promise<AttemptOutcome> {
    const failed = new Set<string>();
    for (let count = 1; ; count += 1) {
      const index = this.#chooseInstance(workload, failed);
      const outcome = await this.#attempt(workload, key, index, count);
      const isAnswered = outcome.final !== undefined || outcome.response !== undefined;
      const { error } = outcome;
      const isFinalError = error !== undefined && error.retryAfterMs === undefined;
      if (isAnswered || isFinalError || count === maxAttempts) return outcome;
      failed.add(outcome.instanceId);
      if (failed.size >= this.#fleet.instances.length) failed.clear();
      await this.#fleet.clock.sleep(error?.retryAfterMs ?? 500);
    }
  }

  #attempt(workload: ScenarioTraffic, key: string, index: number, count: number) {
    if (workload.kind === 'read') return this.#context.service(index, key, 'GET');
    if (workload.kind === 'write') return this.#context.service(index, key, 'POST');
    const { hangUpAfterTokens, context } = workload;
    const shouldHangUp = hangUpAfterTokens !== undefined && count === 1;
    const hangUp = shouldHangUp ? { hangUpAfterTokens } : {};
    return this.#context.chat(index, key, { context, ...hangUp });
  }

  #chooseInstance(workload: ScenarioTraffic, failed: ReadonlySet<string>): number {
    const { instances } = this.#fleet;
    const named = instances.findIndex(({ id }) => id === workload.at);
    if (named >= 0 && !failed.has(workload.at)) return named;
    const directoryInstance = instances.find(
      ({ id }) => this.#context.injector.isAvailable(id) && !failed.has(id),
    );
    const listed =
      directoryInstance?.instance.directory.answer(budget.accountId, undefined).instances ?? [];
    const first = listed.find(({ id }) => !failed.has(id)) ?? directoryInstance;
    return Math.max(
      0,
      instances.findIndex(({ id }) => id === first?.id),
    );
  }

  async #applyEvent(event: ScenarioEvent): Promise<void> {
    const { injector } = this.#context;
    if ('crash' in event) this.#crash(event.crash);
    else if ('start' in event)
      this.#context.watchVersion(await this.#fleet.addInstance(event.start));
    else if ('stop' in event) this.#backgroundTasks.push(this.#stop(event.stop));
    else if ('pause' in event) injector.pause(event.pause, event.for);
    else if ('cut' in event) for (const actor of event.cut) injector.cutOff(actor, event.for);
    else if ('storeDown' in event) injector.startStoreOutage(event.storeDown);
    else if ('loseAnswers' in event) injector.loseWriteResponses(event.loseAnswers, event.count);
    else if ('silence' in event) this.#silence(event.silence, event.to);
    else if ('pauseUpstreams' in event) injector.pauseUpstreams(event.for, event.pauseUpstreams);
    else if ('leave' in event) this.#leave(event.leave);
    else if ('overload' in event) this.#overload(event.overload, event.for, event.backoff);
    else if ('startAgain' in event)
      this.#fleet.clients.engines.get(event.startAgain)?.restart(event.version);
    else if ('deadly' in event) this.#endUnder(event.deadly, event.down);
    else if ('topUp' in event) this.#backgroundTasks.push(this.#topUp(event));
    else this.#backgroundTasks.push(this.#promote(event));
  }

  #crash(id: string): void {
    this.#context.injector.crash(id);
    this.#fleet.platform.removeInstance(id);
  }

  #silence(actor: string, peer: 'store' | 'engine' | 'service' | 'fleet'): void {
    if (peer !== 'fleet') this.#context.injector.silenceOpenConnections(actor, peer);
    else for (const { id } of this.#fleet.instances) this.#fleet.network.silence(actor, id);
  }

  async #stop(id: string): Promise<void> {
    const localInstance = this.#fleet.instances.find((local) => local.id === id);
    await Promise.race([
      localInstance?.instance.drain(stopLimitMs),
      this.#context.injector.whenCrashed(id),
    ]);
    const isOpen =
      (localInstance?.instance.openRequests ?? 0) > 0 && !this.#context.injector.hasCrashed(id);
    if (isOpen) this.#context.violations.push({ invariant: 'plannedStopCutsNothing', what: id });
    this.#crash(id);
  }

  #leave(id: string): void {
    const { clients, platform } = this.#fleet;
    clients.engines.get(id)?.leave();
    clients.services.get(id)?.leave();
    const listed = platform.instances().find((entry) => entry.id === id);
    if (listed !== undefined) platform.setInstance({ ...listed, state: 'leaving' });
  }

  #overload(id: string, durationMs: number, backoffMs: number): void {
    this.#fleet.clients.engines.get(id)?.overload(durationMs, backoffMs);
  }

  #endUnder(text: string, downMs: number): void {
    const { engines, services } = this.#fleet.clients;
    for (const upstream of [...engines.values(), ...services.values()])
      upstream.endUnder(text, downMs);
  }

  async #topUp(event: { topUp: string; tokens: number; by: string }): Promise<void> {
    this.#context.topUps.set(event.topUp, event.tokens);
    const store = this.#context.operatorStore(event.by);
    const { clock } = this.#fleet;
    for (;;) {
      const operation = topUpBudget(store, clock, budget, event.topUp, event.tokens);
      if ((await operation.catch(() => undefined)) !== undefined) return;
      await clock.sleep(5_000);
    }
  }

  async #promote(event: { promote: string; by: string; from?: number | undefined }): Promise<void> {
    const { clock } = this.#fleet;
    const store = this.#context.operatorStore(event.by);
    const text = storyDocument(event.promote, this.#scenario.fleet.budgetTokens);
    const operation = acceptDocument(store, clock, text, { expectedVersion: event.from });
    const acceptance = await operation.catch(() => undefined);
    if (acceptance?.outcome !== 'accepted') return;
    this.#acceptedMs = clock.monotonicMs();
    await this.#waitUntilInForce(acceptance.manifest.version);
  }

  /**
   * Waits until the version is in force on all instances, except those that are dead, paused or cut
   * off at the time of a check.
   */
  async #waitUntilInForce(version: number): Promise<void> {
    const { clock, instances } = this.#fleet;
    const { injector } = this.#context;
    const isLagging = () =>
      instances.some(
        ({ id, instance }) =>
          injector.isAvailable(id) &&
          (instance.configuration.inForce.value?.version ?? 0) < version,
      );
    while (isLagging() && clock.monotonicMs() - (this.#acceptedMs ?? 0) < 600_000)
      await clock.sleep(100);
    this.#inForceMs = Math.max(this.#inForceMs, clock.monotonicMs() - (this.#acceptedMs ?? 0));
  }

  async #measure(): Promise<ScenarioResult> {
    const outcomes = await Promise.all(this.#requests);
    const answered = outcomes.filter(
      (outcome) => outcome.final !== undefined || outcome.response !== undefined,
    );
    const { attempts } = this.#context;
    const kinds = attempts.flatMap(({ error }) => (error === undefined ? [] : [error.kind]));
    const refusals: Record<string, number> = {};
    for (const kind of kinds) refusals[kind] = (refusals[kind] ?? 0) + 1;
    const answeredPercent = (100 * answered.length) / Math.max(1, outcomes.length);
    const measured = {
      name: this.#scenario.name,
      requests: outcomes.length,
      answeredPercent: Math.round(answeredPercent * 100) / 100,
      refusals,
      refusedForOverload: this.#refusedForOverload(),
      endedUpstreams: this.#endedUpstreams(),
      settledTokens: this.#settledTokens(),
      version: this.#version(),
      inForceMs: this.#inForceMs,
      slowestAttemptMs: Math.max(
        0,
        ...attempts.map((attempt) => attempt.endedMs - attempt.startedMs),
      ),
    };
    const violations = checkRecords(this.#context).map(
      ({ invariant, what }) => `${invariant}: ${what}`,
    );
    return {
      ...measured,
      faults: [...violations, ...findUnmetExpectations(this.#scenario, measured)],
    };
  }

  #refusedForOverload(): number {
    const engines = [...this.#fleet.clients.engines.values()];
    return engines.reduce((sum, engine) => sum + engine.refusedForOverload, 0);
  }

  #endedUpstreams(): number {
    const { engines, services } = this.#fleet.clients;
    const upstreams = [...engines.values(), ...services.values()];
    return upstreams.reduce((sum, { ends }) => sum + ends, 0);
  }

  #settledTokens(): number {
    return this.#fleet.platform
      .objects()
      .filter(({ key }) => key.startsWith('ledger/'))
      .map(({ value }) => value as { budgets: Record<string, { settledTokens: number }> })
      .reduce((sum, page) => sum + (page.budgets[budget.budgetId]?.settledTokens ?? 0), 0);
  }

  #version(): number {
    const stored = this.#fleet.platform.objects().find(({ key }) => key === manifestKey('faults'));
    return (stored?.value as Manifest).version;
  }
}

function findUnmetExpectations(
  scenario: Scenario,
  measured: Omit<ScenarioResult, 'faults'>,
): string[] {
  const { refused, ...bounds } = scenario.expect;
  const rows: (readonly [string, number, Bounds | undefined])[] = [
    ['answeredPercent', measured.answeredPercent, bounds.answeredPercent],
    ['refusedForOverload', measured.refusedForOverload, bounds.refusedForOverload],
    ['endedUpstreams', measured.endedUpstreams, bounds.endedUpstreams],
    ['settledTokens', measured.settledTokens, bounds.settledTokens],
    ['version', measured.version, bounds.version],
    ['inForceMs', measured.inForceMs, bounds.inForceMs],
    ['slowestAttemptMs', measured.slowestAttemptMs, bounds.slowestAttemptMs],
    ...Object.entries(refused).map(
      ([kind, limit]) => [`refused.${kind}`, measured.refusals[kind] ?? 0, limit] as const,
    ),
  ];
  return rows.flatMap(([name, value, limit]) => {
    const isLow = value < (limit?.atLeast ?? -Infinity);
    const isHigh = value > (limit?.atMost ?? Infinity);
    return isLow || isHigh ? [`${name} is ${value}, expected ${JSON.stringify(limit)}`] : [];
  });
}
