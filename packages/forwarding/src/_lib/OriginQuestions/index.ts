import { getOrCreate, type Clock, type InstanceId, type StreamKey } from '@acaciacrank/base';
import type { FleetRpc } from '@acaciacrank/fleet';
import type { UpstreamRun } from '@acaciacrank/routing';
import { listOrigins, maxStreamsInMessage } from '../streamOriginMessages/index.js';

/** Options of {@link OriginQuestions}. */
export interface OriginQuestionsOptions {
  clock: Clock;
  rpc: Pick<FleetRpc, 'ask'>;
}

/** The replies of one peer to a batch of questions, by stream. */
type PeerReplies = Promise<ReadonlyMap<StreamKey, UpstreamRun>>;

/** Questions to one peer that are sent together. */
interface Batch {
  readonly streams: Set<StreamKey>;
  readonly replies: PeerReplies;
}

/** How long questions to a peer are collected, in milliseconds: many streams return at once after a loss. */
const batchDelayMs = 4;
/** Timeout of a peer's reply, in milliseconds. */
const replyTimeoutMs = 150;

/** Asks peers which run began a stream; questions to the same peer at about the same time share a message. */
export class OriginQuestions {
  readonly #options: OriginQuestionsOptions;
  readonly #batches = new Map<InstanceId, Batch>();

  constructor(options: OriginQuestionsOptions) {
    this.#options = options;
  }

  /** Asks all the peers at once; returns the first reply that names the run, undefined if there is none. */
  async ask(stream: StreamKey, peers: readonly InstanceId[]): Promise<UpstreamRun | undefined> {
    const replies = peers.map(async (peer) => {
      const run = (await this.#askPeer(stream, peer)).get(stream);
      return run ?? Promise.reject(new Error('not known'));
    });
    return Promise.any(replies).catch(() => undefined);
  }

  #askPeer(stream: StreamKey, peer: InstanceId): PeerReplies {
    const batch = getOrCreate(this.#batches, peer, () => {
      const streams = new Set<StreamKey>();
      return { streams, replies: this.#send(peer, streams) };
    });
    batch.streams.add(stream);
    if (batch.streams.size >= maxStreamsInMessage) this.#batches.delete(peer);
    return batch.replies;
  }

  async #send(peer: InstanceId, streams: ReadonlySet<StreamKey>): PeerReplies {
    const { clock, rpc } = this.#options;
    await clock.sleep(batchDelayMs);
    if (this.#batches.get(peer)?.streams === streams) this.#batches.delete(peer);
    const { origins } = await rpc.ask(
      peer,
      { kind: 'streamOrigins', streams: [...streams] },
      { timeoutMs: replyTimeoutMs },
    );
    return new Map(listOrigins(origins).map(({ stream, run }) => [stream, run]));
  }
}
