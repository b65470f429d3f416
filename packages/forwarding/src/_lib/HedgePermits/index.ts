/**
 * Decides for one request whether it is sent to a further upstream beside one that is silent.
 */
import type { Metrics } from '@acaciacrank/base';
import {
  decideHedge,
  type HedgeDecision,
  type HedgeRefusal,
  type RetryShare,
} from '@acaciacrank/routing';
import type { UpstreamTable } from '../../UpstreamTable/index.js';
import { describeSilence } from '../describeAttempt/index.js';
import { isRepeatable, type ForwardCall } from '../ForwardCall/index.js';
import type { UpstreamPick } from '../pickUpstream/index.js';
import type { SilenceProbes } from '../SilenceProbes/index.js';
import type { Upstream } from '../Upstream/index.js';
import type { UpstreamChooser } from '../UpstreamChooser/index.js';

/** Dependencies of {@link HedgePermits}. */
export interface HedgePermitsDependencies {
  readonly upstreams: UpstreamTable;
  readonly silenceProbes: SilenceProbes;
  readonly retries: RetryShare;
  readonly metrics: Metrics;
}

/** A silence of an upstream at which a request is under way. */
export interface Silence {
  readonly upstream: Upstream;
  /** How late the timer of this process ran that found it out, in milliseconds. */
  readonly lateMs: number;
  /** Number of upstreams that the request was sent to. */
  readonly sends: number;
  /** Number of upstreams that have ended under it. */
  readonly endCount: number;
  /** Called when a refusal for the silence of the service may no longer hold. */
  readonly onRoom: () => void;
}

/** The right to send a request to one more upstream. */
export interface HedgePermit {
  readonly pick: UpstreamPick;
  /** Records that it is sent now. */
  readonly recordSent: () => void;
  /** Records that the upstream has given something. */
  readonly recordProgress: () => void;
  /** Records the end of the attempt; what was not sent takes no retry. */
  readonly end: (wasSent: boolean) => void;
}

/** The hedges of one request; disposed of when it ends. */
export class HedgePermits implements Disposable {
  readonly #dependencies: HedgePermitsDependencies;
  readonly #call: ForwardCall;
  readonly #chooser: UpstreamChooser;
  #lastDecision: HedgeDecision | HedgeRefusal | undefined;
  #wait: Disposable | undefined;

  constructor(dependencies: HedgePermitsDependencies, call: ForwardCall, chooser: UpstreamChooser) {
    this.#dependencies = dependencies;
    this.#call = call;
    this.#chooser = chooser;
  }

  /** Asks to send the request to one more upstream; undefined if that is not allowed. */
  request(silence: Silence): HedgePermit | undefined {
    const { upstreams, silenceProbes, retries } = this.#dependencies;
    const { service, route } = this.#call;
    const { sends, endCount } = silence;
    const decision = decideHedge({
      isRepeatable: isRepeatable(this.#call),
      endCount,
      sends,
      maxSends: route.maxUpstreams,
      silence: () => upstreams.silenceOf(service.name),
      probes: silenceProbes.countOf(service.name),
      hasCandidate: () => this.#chooser.hasHedge,
    });
    this.#wait?.[Symbol.dispose]();
    if (decision === 'serviceSilent') this.#wait = silenceProbes.wait(service.name, silence.onRoom);
    if (decision !== 'hedge' && decision !== 'probe') return this.#refuse(decision, silence);
    const retry = retries.takeRetry(service.name);
    if (retry === undefined) return this.#refuse('budget', silence);
    const pick = this.#chooser.pickHedge();
    if (pick === undefined) {
      retry.giveBack();
      return this.#refuse('noUpstream', silence);
    }
    this.#report(decision, silence);
    const probe = decision === 'probe' ? silenceProbes.begin(service.name) : undefined;
    return {
      pick,
      recordSent: retry.recordSent,
      recordProgress: () => {
        probe?.[Symbol.dispose]();
      },
      end: (wasSent) => {
        if (!wasSent) retry.giveBack();
        probe?.[Symbol.dispose]();
      },
    };
  }

  [Symbol.dispose](): void {
    this.#wait?.[Symbol.dispose]();
  }

  #refuse(why: HedgeRefusal, silence: Silence): undefined {
    this.#report(why, silence);
    return undefined;
  }

  /** Reports a silence and what is done about it; the log line of the request shows it once for each decision. */
  #report(decision: HedgeDecision | HedgeRefusal, { upstream, lateMs }: Silence): void {
    const { upstreams, metrics } = this.#dependencies;
    metrics.count('hedges', decision);
    if (this.#lastDecision === decision) return;
    this.#lastDecision = decision;
    const { progress, service, trace } = this.#call;
    const details = describeSilence(upstream, upstreams.silenceOf(service.name), lateMs);
    trace.add('silent', { decision, events: progress.events, ...details });
  }
}
