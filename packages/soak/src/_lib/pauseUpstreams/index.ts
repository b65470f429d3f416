import type { InjectedDefect, PlannedFault } from '../../types.js';
import type { Observations } from '../Observations/index.js';
import type { ProxiedUpstream, SoakEnvironment } from '../SoakEnvironment/index.js';

/** What {@link pauseUpstreams} acts on. */
export interface PauseContext {
  readonly environment: SoakEnvironment;
  readonly observations: Observations;
  readonly injectedDefect: InjectedDefect | undefined;
}

/** Shares of the upstreams of a service that the fault chooses from, rounded up to whole upstreams. */
const shares = [1, 0.3, 0.6, 1, 0.45, 0.8] as const;
/** The service of engines, which is always paused, and the plain one, which is paused by one fault in this many. */
const services = { engine: 'lm', plain: 'app' } as const;
const plainEvery = 3;

/**
 * Pauses upstreams without ending them: their connections stay open, nothing is read or written, then all continues.
 * The target chooses the share, then whether the plain service is paused as well, then from which upstream on.
 *
 * @example
 * pauseUpstreams(context, { kind: 'pauseUpstreams', atMs: 0, durationMs: 1_300, target: 0 });
 */
export function pauseUpstreams(context: PauseContext, { target, durationMs }: PlannedFault): void {
  const { environment, observations, injectedDefect } = context;
  const share = shares[target % shares.length] ?? 1;
  const isPlainPaused = Math.floor(target / shares.length) % plainEvery === 0;
  const first = Math.floor(target / (shares.length * plainEvery));
  observations.noteDisturbance(durationMs, true);
  for (const service of isPlainPaused ? [services.engine, services.plain] : [services.engine]) {
    const all = environment.upstreams.filter(({ server }) => server.service === service);
    const count = Math.ceil(share * all.length);
    const paused = all.filter((_, index) => (index + first) % all.length < count);
    if (paused.length === all.length)
      observations.soundAnswers.noteServiceSilence(service, durationMs);
    for (const upstream of paused) {
      observations.noteUpstreamDisturbance(upstream.server.id, durationMs);
      pauseFor(upstream, durationMs);
      if (injectedDefect === 'cutPaused') setTimeout(() => upstream.proxy.reset(), durationMs / 2);
    }
  }
}

function pauseFor({ server, proxy }: ProxiedUpstream, durationMs: number): void {
  server.pause.begin();
  proxy.hold();
  setTimeout(() => {
    server.pause.end();
    proxy.release();
  }, durationMs);
}
