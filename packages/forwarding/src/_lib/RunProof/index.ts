/**
 * Which run of its upstream an attempt reaches, and whether that is proven.
 */
import { RouterError, type Clock, type InstanceId } from '@acaciacrank/base';
import { needsRunCheck, type UpstreamRun } from '@acaciacrank/routing';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import { checkRun, type RunCheck } from '../checkRun/index.js';
import type { ForwardCall } from '../ForwardCall/index.js';
import type { Upstream } from '../Upstream/index.js';
import type { UpstreamConnection } from '../UpstreamConnection/index.js';

/** Options of {@link RunProof}. */
export interface RunProofOptions {
  readonly call: ForwardCall;
  readonly clock: Clock;
  readonly codec: ForwardCodec;
  readonly upstream: Upstream;
  /** Whether upstreams of the service run several versions of their software. */
  readonly isMixed: boolean;
  /** Whether the upstream's record may be out of date, since the store cannot be followed. */
  readonly isRecordStale: boolean;
  /** Id of this instance if the target is a peer, which finds out for itself. */
  readonly relayedBy?: InstanceId;
}

/** What a {@link RunProof} needs of its attempt. */
export interface RunProofHooks {
  /** Ends the check. */
  readonly signal: AbortSignal;
  /** Called when the upstream is asked, with how long it may take until another one is tried, in milliseconds. */
  readonly onAsked: (patienceMs: number) => void;
  /** Called when it has replied. */
  readonly onContact: () => void;
}

/** A connection that leads to a known run, and how often it had been opened when that was known. */
interface ProvenConnection {
  readonly connection: UpstreamConnection;
  readonly openCount: number;
}

/** How long an upstream may take to say which run it is until another one is tried, in milliseconds. */
const runCheckPatienceMs = 300;

/**
 * Finds out which run of its upstream an attempt reaches.
 *
 * Guards against one text of two versions: a stream continues only at a run that is known to be the one that began it.
 *
 * @example
 * const check = await runProof.check(connection);
 * if (check === 'other') return { kind: 'notSent', reason, isOtherRun: true };
 */
export class RunProof {
  readonly #options: RunProofOptions;
  readonly #hooks: RunProofHooks;
  /** The connection, if it is known which run it leads to. */
  #provenConnection: ProvenConnection | undefined;
  /** Whether a new connection would have to be checked. */
  #isNewConnectionDoubted = false;
  /** Whether the upstream may be another run than that of its record. */
  #isUnproven = false;

  constructor(options: RunProofOptions, hooks: RunProofHooks) {
    this.#options = options;
    this.#hooks = hooks;
  }

  /** Whether the request continues a stream that has begun. */
  get isResumption(): boolean {
    return this.#options.call.progress.origin !== undefined;
  }

  /** The run that responds, as far as it is known. */
  get run(): UpstreamRun {
    const { run } = this.#options.upstream;
    if (!this.#isUnproven) return run;
    return { ...run, startedAtMs: undefined, softwareVersion: undefined };
  }

  /** Finds out, where that is in doubt, whether the upstream is the run of its record; undefined where it is not. */
  async check(connection: UpstreamConnection): Promise<RunCheck | 'unproven' | undefined> {
    const { call, upstream, relayedBy, isMixed, isRecordStale } = this.#options;
    if (call.route.kind !== 'stream' || relayedBy !== undefined) return undefined;
    const isDoubted = upstream.isRunDoubted || isRecordStale;
    const evidence = { isResumption: this.isResumption, isDoubted, isMixed };
    this.#isNewConnectionDoubted = needsRunCheck({ ...evidence, isConnected: false });
    const { isOpen: isConnected, openCount } = connection;
    if (isConnected) this.#provenConnection = { connection, openCount };
    if (!needsRunCheck({ ...evidence, isConnected })) return undefined;
    const check = await this.#ask(connection, isDoubted);
    const isUnknown = check === 'notStated';
    // The request would open another connection, maybe to another run.
    const isLost = this.isResumption && !connection.isOpen;
    this.#isUnproven = isUnknown && (isDoubted || isLost);
    return this.#isUnproven ? 'unproven' : check;
  }

  /**
   * Guards against a connection that was opened anew after the check, maybe to another run: a stream does not continue
   * there, and one that begins there has no known version.
   *
   * @throws RouterError `upstreamFailed` for a stream that was to continue
   */
  recheckConnection(): void {
    const { connection, openCount } = this.#provenConnection ?? {};
    if (connection === undefined || connection.openCount === openCount) return;
    if (!this.#isNewConnectionDoubted) return;
    if (this.isResumption)
      throw new RouterError('upstreamFailed', 'the connection ended before the response');
    this.#isUnproven = true;
  }

  async #ask(connection: UpstreamConnection, isDoubted: boolean): Promise<RunCheck> {
    const { call, clock, upstream, codec } = this.#options;
    const { signal, onAsked, onContact } = this.#hooks;
    const startedMs = clock.monotonicMs();
    onAsked(runCheckPatienceMs);
    const { check, why } = await checkRun(connection, upstream.record.startedAtMs, codec, {
      clock,
      signal,
      // A stream that has begun continues only where the run is known, so that there is no use in sending it unasked.
      timeoutMs: this.isResumption ? undefined : runCheckPatienceMs,
    });
    const tookMs = Math.round(clock.monotonicMs() - startedMs);
    call.trace.add('runCheck', { upstreamId: upstream.id, check, why, tookMs, isDoubted });
    this.#provenConnection = { connection, openCount: connection.openCount };
    if (check === 'same') upstream.confirmRun();
    if (check !== 'notStated') onContact();
    return check;
  }
}
