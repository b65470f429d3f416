import type { InjectedDefect, PlannedFault } from '../../types.js';
import type { DeadlyPartCaller } from '../DeadlyPartCaller/index.js';
import type { DeadlyCaller } from '../DeadlyCaller/index.js';
import type { ResumingCaller } from '../ResumingCaller/index.js';
import { BrittleRoom } from '../BrittleRoom/index.js';
import { brittleRunsPerSlot, type FakeUpstream } from '../FakeUpstream/index.js';
import { FloodingClients } from '../FloodingClients/index.js';
import { stopLimitMs, type InstanceProcess } from '../InstanceProcess/index.js';
import type { Observations } from '../Observations/index.js';
import { soakFloods } from '../soakFloods/index.js';
import { pauseUpstreams } from '../pauseUpstreams/index.js';
import type { SoakEnvironment } from '../SoakEnvironment/index.js';

/** Rate limits that the fault `limitUpstream` chooses from, in requests per second. */
const limitsPerS = [1.5, 0.5, 1, 3, 2.2] as const;
/** Backoffs that the fault `overloadUpstream` chooses from, in milliseconds. */
const backoffsMs = [3_000, 1_500, 5_000, 2_200] as const;
/** The forms of a cut that the fault `cutFromUpstreams` chooses from. */
const cutForms = ['hang', 'refuse', 'keepOpen'] as const;
/** Room of an upstream while it is brittle. */
const brittleRoomOptions = {
  slots: 4,
  queue: { before: 4, after: 1 },
  maxRefusalsPerS: 5,
} as const;
/** Time that a killed process takes to be up again, at most, in milliseconds. */
const restartMs = 2_000;

/** The greatest age of the copy from which the store returns, in milliseconds. */
const maxCopyAgeMs = 20_000;
/** Time after which the operator and the upstreams write again what was lost, in milliseconds. */
const rewriteDelayMs = 500;

/** Options of {@link FaultInjector}. */
export interface FaultInjectorOptions {
  readonly environment: SoakEnvironment;
  readonly observations: Observations;
  readonly deadlyCaller: () => DeadlyCaller;
  readonly deadlyPartCaller: () => DeadlyPartCaller;
  readonly resumingCaller: () => ResumingCaller;
  readonly injectedDefect: InjectedDefect | undefined;
}

/** Injects planned faults and reports them to the checks. */
export class FaultInjector {
  /** Number of injected faults by kind. */
  readonly counts: Record<string, number> = {};
  readonly #options: FaultInjectorOptions;
  /** The fault that last set the limit of each upstream. */
  readonly #latestLimitFaults = new Map<FakeUpstream, PlannedFault>();
  /** The fault that last overloaded each upstream. */
  readonly #latestOverloads = new Map<FakeUpstream, PlannedFault>();

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
  }

  /** Injects one fault; resolves once it has started. */
  async inject(fault: PlannedFault): Promise<void> {
    const { environment, observations, injectedDefect } = this.#options;
    this.counts[fault.kind] = (this.counts[fault.kind] ?? 0) + 1;
    const index = fault.target % environment.instances.length;
    const instance = environment.instances[index];
    const upstream = environment.upstreams[fault.target % environment.upstreams.length];
    if (instance === undefined || upstream === undefined) return;
    if (fault.kind !== 'deadlyPart') observations.deadlyParts.noteOtherFault(fault.durationMs);
    const { process, storeProxy } = instance;
    switch (fault.kind) {
      case 'kill':
        observations.noteDisturbance(0);
        observations.statements.noteInstanceDisturbance(index, restartMs);
        observations.soundAnswers.noteInstanceEnd(index, restartMs);
        process.signal('SIGKILL');
        return;
      case 'pause':
        observations.noteDisturbance(fault.durationMs);
        observations.statements.noteInstanceDisturbance(index, fault.durationMs + restartMs);
        observations.departures.noteInstancePause(index, fault.durationMs);
        process.signal('SIGSTOP');
        setTimeout(() => process.signal('SIGCONT'), fault.durationMs);
        return;
      case 'powerOff':
        observations.noteDisturbance(fault.durationMs);
        observations.statements.noteInstanceDisturbance(index, fault.durationMs + restartMs);
        observations.directoryCheck.notePowerOff(index);
        observations.soundAnswers.noteInstanceEnd(index, fault.durationMs + restartMs);
        process.powerOff(fault.durationMs);
        return;
      case 'stop':
        observations.noteStop(index, stopLimitMs);
        observations.soundAnswers.noteStop(index, stopLimitMs + restartMs);
        observations.soundAnswers.noteInstanceEnd(index, restartMs, stopLimitMs);
        observations.statements.noteInstanceDisturbance(index, stopLimitMs + restartMs);
        if (injectedDefect === 'killForStop') process.signal('SIGKILL');
        else process.stop();
        return;
      case 'reload':
        process.signal('SIGHUP');
        return;
      case 'storeTurnsAway':
        this.#applyFor(
          fault.durationMs,
          () => storeProxy.setMode('refuse'),
          () => storeProxy.setMode('pass'),
        );
        storeProxy.reset();
        return;
      case 'limitUpstream':
        this.#setLimit(upstream.server, fault);
        return;
      case 'overloadUpstream':
        this.#overload(upstream.server, fault);
        return;
      case 'resetUpstream':
        observations.noteDisturbance(0);
        this.#noteUpstreamFault(upstream.server, 0);
        upstream.proxy.reset();
        return;
      case 'silenceUpstream':
        observations.noteDisturbance(0);
        this.#noteUpstreamFault(upstream.server, 0);
        upstream.proxy.silenceConnections();
        return;
      case 'delayUpstream':
      case 'cutUpstreamOneWay': {
        const { proxy: upstreamProxy, server } = upstream;
        const isDelay = fault.kind === 'delayUpstream';
        if (isDelay) observations.noteUpstreamDisturbance(server.id, fault.durationMs);
        else this.#noteUpstreamFault(server, fault.durationMs);
        const mode = isDelay ? 'delay' : 'dropBack';
        this.#applyFor(
          fault.durationMs,
          () => upstreamProxy.setMode(mode),
          () => upstreamProxy.setMode('pass'),
        );
        return;
      }
      case 'pauseUpstreams':
        pauseUpstreams(this.#options, fault);
        return;
      case 'leaveUpstream':
        await environment.leave(upstream);
        return;
      case 'storeRestored':
        this.#restoreStore(fault);
        return;
      case 'cutFromUpstreams':
        this.#cutFromUpstreams(fault);
        return;
      case 'brittleService':
        this.#makeBrittle(fault);
        return;
      case 'mixVersions':
        await environment.mixVersions(fault.durationMs);
        void this.#options.resumingCaller().run(fault.durationMs);
        return;
      case 'crashUpstream':
        environment.endUpstream(upstream.server);
        return;
      case 'deadlyRequest':
        void this.#options.deadlyCaller().send(fault.target);
        return;
      case 'deadlyPart':
        void this.#options.deadlyPartCaller().run(fault.target, fault.durationMs);
        return;
      case 'floodInstance':
        this.#flood(process, fault);
        return;
      case 'changeConfiguration':
        environment.changeConfiguration();
        return;
      default:
        this.#injectStoreFault(fault);
    }
  }

  /** The target chooses the flood after the instance. It is no disturbance: all others are to be served beside it. */
  #flood(process: InstanceProcess, { target, durationMs }: PlannedFault): void {
    const { environment, injectedDefect } = this.#options;
    if (injectedDefect === 'abortProcess') process.signal('SIGABRT');
    const choice = Math.floor(target / environment.instances.length) % soakFloods.length;
    const flood = soakFloods[choice];
    if (flood === undefined) return;
    const clients = new FloodingClients(process.ports[flood.port]);
    void clients.send(flood);
    setTimeout(() => {
      clients[Symbol.dispose]();
    }, durationMs);
  }

  /**
   * Cuts instances off from all upstreams. The target chooses the form of the cut, then whether one, two or all
   * instances are cut off, then from which instance on.
   */
  #cutFromUpstreams({ target, durationMs }: PlannedFault): void {
    const { environment, observations } = this.#options;
    const { instances, upstreams } = environment;
    const form = cutForms[target % cutForms.length] ?? 'hang';
    const counts = [1, Math.min(2, instances.length - 1), instances.length];
    const count = counts[Math.floor(target / cutForms.length) % counts.length] ?? 1;
    const first = Math.floor(target / (cutForms.length * counts.length));
    const cut = Array.from({ length: count }, (_, index) => (first + index) % instances.length);
    const ports = upstreams.map(({ proxy }) => proxy.port);
    observations.noteDisturbance(durationMs);
    observations.reach.noteCut(cut, durationMs, instances.length);
    for (const index of cut) instances[index]?.upstreamCut.begin({ form, ports });
    for (const { server } of upstreams) this.#noteUpstreamFault(server, durationMs);
    setTimeout(() => {
      for (const index of cut) instances[index]?.upstreamCut.end();
    }, durationMs);
  }

  /** The upstreams of the service with plain responses that most requests go to are brittle. */
  #makeBrittle({ durationMs }: PlannedFault): void {
    const { environment, observations, injectedDefect } = this.#options;
    const service = 'app';
    const servers = environment.upstreams.flatMap(({ server }) =>
      server.service === service ? [server] : [],
    );
    observations.noteDisturbance(durationMs);
    const runsPerSecond = brittleRoomOptions.slots * brittleRunsPerSlot;
    observations.brittle.notePeriod(durationMs, servers.length, runsPerSecond);
    for (const server of servers) {
      server.brittleRoom = new BrittleRoom({ ...brittleRoomOptions, now: environment.now });
      server.isBrittlenessHidden = injectedDefect === 'hideBrittle';
      setTimeout(() => {
        server.brittleRoom = undefined;
      }, durationMs);
    }
  }

  /** Sets the limit of an upstream and removes it after the fault, unless a later fault has set it again. */
  #setLimit(upstream: FakeUpstream, fault: PlannedFault): void {
    const { injectedDefect } = this.#options;
    upstream.limitPerS = limitsPerS[fault.target % limitsPerS.length];
    upstream.isLimitHidden = injectedDefect === 'hideLimit';
    endUnlessReplaced(this.#latestLimitFaults, upstream, fault, () => {
      upstream.limitPerS = undefined;
    });
  }

  /** Overloads an upstream until the end of the fault, or of a later one of this kind. */
  #overload(upstream: FakeUpstream, fault: PlannedFault): void {
    upstream.backoffMs = backoffsMs[fault.target % backoffsMs.length];
    upstream.isBackoffHidden = this.#options.injectedDefect === 'hideBackoff';
    endUnlessReplaced(this.#latestOverloads, upstream, fault, () => {
      upstream.backoffMs = undefined;
    });
  }

  /** Records that connections of an upstream, or what is sent on them, are lost for a while. */
  #noteUpstreamFault({ id }: FakeUpstream, durationMs: number): void {
    const { observations } = this.#options;
    observations.noteUpstreamDisturbance(id, durationMs);
    observations.soundAnswers.noteUpstreamFault(id, durationMs);
  }

  /** The store is away, then returns from a copy; its other users write again what is theirs. */
  #restoreStore({ durationMs, target }: PlannedFault): void {
    const { environment, observations } = this.#options;
    const ageMs = target % maxCopyAgeMs;
    observations.noteDisturbance(durationMs + rewriteDelayMs);
    environment.store.mode = 'busy';
    setTimeout(() => {
      environment.restoreStore(ageMs);
      environment.store.mode = 'normal';
    }, durationMs);
    setTimeout(() => {
      environment.writeAgain();
    }, durationMs + rewriteDelayMs);
  }

  #injectStoreFault({ kind, durationMs }: PlannedFault): void {
    const { environment } = this.#options;
    const modes = {
      storeAway: 'busy',
      storeSlow: 'slow',
      storeLosesAnswers: 'loseResponses',
      storeForgets: 'rejectWatches',
    } as const;
    const mode = modes[kind as keyof typeof modes];
    this.#applyFor(
      durationMs,
      () => {
        environment.store.mode = mode;
      },
      () => {
        environment.store.mode = 'normal';
      },
    );
  }

  /** Starts a fault, reports it as a disturbance and ends it after its duration. */
  #applyFor(durationMs: number, begin: () => void, end: () => void): void {
    this.#options.observations.noteDisturbance(durationMs);
    begin();
    setTimeout(end, durationMs);
  }
}

/** Ends a fault of an upstream after its duration, unless a later one of its kind has taken its place. */
function endUnlessReplaced(
  latest: Map<FakeUpstream, PlannedFault>,
  upstream: FakeUpstream,
  fault: PlannedFault,
  end: () => void,
): void {
  latest.set(upstream, fault);
  setTimeout(() => {
    if (latest.get(upstream) === fault) end();
  }, fault.durationMs);
}
