import {
  getOrCreate,
  type Clock,
  type InstanceId,
  type Metrics,
  type StreamKey,
} from '@acaciacrank/base';
import type { FleetLinks, FleetRpc } from '@acaciacrank/fleet';
import { HashRing, StreamOrigins, type UpstreamRun } from '@acaciacrank/routing';
import { OriginQuestions } from '../_lib/OriginQuestions/index.js';
import {
  groupByRun,
  listOrigins,
  maxStreamsInMessage,
  type StreamOrigin,
  type ToldOrigin,
} from '../_lib/streamOriginMessages/index.js';

/** Options of {@link StreamAffinity}. */
export interface StreamAffinityOptions {
  rpc: Pick<FleetRpc, 'ask' | 'answer'>;
  links: Pick<FleetLinks, 'send' | 'subscribe'>;
  clock: Clock;
  metrics: Metrics;
  instanceId: InstanceId;
  /** The instances that currently live, including this one; the same array until they change. */
  live: () => readonly InstanceId[];
}

/** The run that began a stream, and how this instance knows it. */
export interface KnownOrigin {
  readonly run: UpstreamRun;
  readonly source: 'own' | 'peer';
}

/** Number of instances that are informed which run began a stream: one of them may end at the same time as the teller. */
const homeCount = 2;
/** Number of instances that are queried: where a home is gone, another one follows it in the asker's view. */
const askedCount = 3;
/** How long origins are collected before they are informed, in milliseconds; who ends loses those not notified yet. */
const batchDelayMs = 50;

/**
 * Keeps streams at the software version that began them, whichever instance their callers return to.
 *
 * Who passes on the first event of a stream remembers the run that sent it, and informs the homes of the stream: the
 * instances next to its key on a hash ring. Who is requested to continue with a stream that it does not know asks the homes.
 * A stream costs two entries in batched messages, however many instances there are. One that has been passed on to
 * its end is informed as well: its caller may not have received it.
 */
export class StreamAffinity implements Disposable {
  readonly origins: StreamOrigins;
  readonly #options: StreamAffinityOptions;
  readonly #questions: OriginQuestions;
  readonly #subscriptions: readonly Disposable[];
  /** Streams whose homes are not notified yet. */
  readonly #untold = new Map<StreamKey, UpstreamRun>();
  #ring: { readonly live: readonly InstanceId[]; readonly ring: HashRing<Identified> } | undefined;

  constructor(options: StreamAffinityOptions) {
    this.#options = options;
    const { clock, links, rpc } = options;
    this.origins = new StreamOrigins({ clock });
    this.#questions = new OriginQuestions({ clock, rpc });
    this.#subscriptions = [
      links.subscribe((message) => {
        if (message.kind === 'streamOrigins') this.#receive(message.origins);
      }),
      rpc.answer('streamOrigins', ({ streams }) => {
        const known = streams.flatMap((stream) => {
          const run = this.origins.get(stream);
          return run === undefined ? [] : [{ stream, run }];
        });
        return { kind: 'streamOrigins', origins: groupByRun(known) };
      }),
    ];
  }

  /** Records which run sends the first event of a stream; its homes are informed soon. */
  begin(stream: StreamKey, run: UpstreamRun): void {
    this.origins.record(stream, run);
    if (this.#untold.size === 0) {
      this.#options.clock.schedule(batchDelayMs, () => {
        this.#tellHomes();
      });
    }
    this.#untold.set(stream, run);
  }

  /** Finds the run that began a stream; undefined if neither this instance nor the homes that answer know it. */
  async find(stream: StreamKey): Promise<KnownOrigin | undefined> {
    const own = this.origins.get(stream);
    if (own !== undefined) return { run: own, source: 'own' };
    const { instanceId } = this.#options;
    const peers = this.#nearest(stream, askedCount + 1).filter((peer) => peer !== instanceId);
    const run = await this.#questions.ask(stream, peers.slice(0, askedCount));
    if (run === undefined) return undefined;
    this.origins.record(stream, run);
    return { run, source: 'peer' };
  }

  [Symbol.dispose](): void {
    for (const subscription of this.#subscriptions) subscription[Symbol.dispose]();
  }

  #tellHomes(): void {
    const { instanceId, links, metrics } = this.#options;
    const byHome = new Map<InstanceId, StreamOrigin[]>();
    for (const [stream, run] of this.#untold) {
      const homes = this.#nearest(stream, homeCount + 1).filter((home) => home !== instanceId);
      for (const home of homes.slice(0, homeCount))
        getOrCreate(byHome, home, () => []).push({ stream, run });
    }
    this.#untold.clear();
    for (const [home, origins] of byHome) {
      metrics.count('streamOriginsTold', '', origins.length);
      for (let start = 0; start < origins.length; start += maxStreamsInMessage) {
        const part = origins.slice(start, start + maxStreamsInMessage);
        links.send(home, { kind: 'streamOrigins', origins: groupByRun(part) });
      }
    }
  }

  #receive(origins: readonly ToldOrigin[]): void {
    for (const { stream, run } of listOrigins(origins)) this.origins.record(stream, run);
  }

  /** The instances next to a key, in the order of the ring. */
  #nearest(stream: StreamKey, count: number): readonly InstanceId[] {
    const live = this.#options.live();
    if (this.#ring?.live !== live) {
      this.#ring = { live, ring: new HashRing(live.map((id) => ({ id }))) };
    }
    return this.#ring.ring.neighbours(stream, count).map(({ id }) => id);
  }
}

interface Identified {
  readonly id: InstanceId;
}
