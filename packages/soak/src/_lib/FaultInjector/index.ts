import type { DeliberateBreak, PlannedFault } from '../../types.js';
import { stopLimitMs } from '../InstanceProcess/index.js';
import type { Observations } from '../Observations/index.js';
import type { SoakScene } from '../SoakScene/index.js';
import type { UpstreamStandin } from '../UpstreamStandin/index.js';

/** Rate limits that upstreams set, in requests per second. */
const limitsPerS = [1.5, 0.5, 1, 3, 2.2] as const;

/** Options of {@link FaultInjector}. */
export interface FaultInjectorOptions {
  readonly scene: SoakScene;
  readonly observations: Observations;
  readonly deliberateBreak: DeliberateBreak | undefined;
}

/** Brings planned faults about, and tells the checks that it does. */
export class FaultInjector {
  /** How many faults of each kind were injected. */
  readonly counts: Record<string, number> = {};
  readonly #options: FaultInjectorOptions;
  /** The fault that last set each upstream's limit. */
  readonly #limitFaults = new Map<UpstreamStandin, PlannedFault>();

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
  }

  /** Injects one fault; returns when it has begun. */
  async inject(fault: PlannedFault): Promise<void> {
    const { scene, observations, deliberateBreak } = this.#options;
    this.counts[fault.kind] = (this.counts[fault.kind] ?? 0) + 1;
    const index = fault.target % scene.instances.length;
    const instance = scene.instances[index];
    const upstream = scene.upstreams[fault.target % scene.upstreams.length];
    if (instance === undefined || upstream === undefined) return;
    const { process, storeProxy: proxy } = instance;
    switch (fault.kind) {
      case 'kill':
        observations.disturb(0);
        process.signal('SIGKILL');
        return;
      case 'pause':
        observations.disturb(fault.forMs);
        process.signal('SIGSTOP');
        setTimeout(() => process.signal('SIGCONT'), fault.forMs);
        return;
      case 'powerOff':
        observations.disturb(fault.forMs);
        observations.naming.powerOff(index);
        process.powerOff(fault.forMs);
        return;
      case 'stop':
        observations.beginStop(index, stopLimitMs);
        if (deliberateBreak === 'killForStop') process.signal('SIGKILL');
        else process.stop();
        return;
      case 'reload':
        process.signal('SIGHUP');
        return;
      case 'storeTurnsAway':
        this.#during(
          fault.forMs,
          () => proxy.setMode('refuse'),
          () => proxy.setMode('pass'),
        );
        proxy.reset();
        return;
      case 'limitUpstream':
        this.#setLimit(upstream.standin, fault);
        return;
      case 'resetUpstream':
        observations.disturb(0);
        observations.limits.disturb(upstream.standin.id, 0);
        upstream.proxy.reset();
        return;
      case 'silenceUpstream':
        observations.disturb(0);
        observations.limits.disturb(upstream.standin.id, 0);
        upstream.proxy.forget();
        return;
      case 'delayUpstream':
      case 'cutUpstreamOneWay': {
        const { proxy: way, standin } = upstream;
        observations.limits.disturb(standin.id, fault.forMs);
        const mode = fault.kind === 'delayUpstream' ? 'delay' : 'dropBack';
        this.#during(
          fault.forMs,
          () => way.setMode(mode),
          () => way.setMode('pass'),
        );
        return;
      }
      case 'leaveUpstream':
        await scene.leave(upstream);
        return;
      case 'changeConfiguration':
        scene.changeConfiguration();
        return;
      default:
        this.#disturbStore(fault);
    }
  }

  /** Sets an upstream's limit and removes it after the fault, unless it has been changed by then. */
  #setLimit(standin: UpstreamStandin, fault: PlannedFault): void {
    const { deliberateBreak } = this.#options;
    const { forMs, target } = fault;
    this.#limitFaults.set(standin, fault);
    const limitPerS = limitsPerS[target % limitsPerS.length];
    standin.limitPerS = limitPerS;
    standin.isLimitHidden = deliberateBreak === 'hideLimit';
    setTimeout(() => {
      if (this.#limitFaults.get(standin) === fault) standin.limitPerS = undefined;
    }, forMs);
  }

  #disturbStore({ kind, forMs }: PlannedFault): void {
    const { scene } = this.#options;
    const modes = {
      storeAway: 'busy',
      storeSlow: 'slow',
      storeLosesAnswers: 'losesAnswers',
      storeForgets: 'forgets',
    } as const;
    const mode = modes[kind as keyof typeof modes];
    this.#during(
      forMs,
      () => {
        scene.store.mode = mode;
      },
      () => {
        scene.store.mode = 'well';
      },
    );
  }

  #during(forMs: number, begin: () => void, end: () => void): void {
    this.#options.observations.disturb(forMs);
    begin();
    setTimeout(end, forMs);
  }
}
