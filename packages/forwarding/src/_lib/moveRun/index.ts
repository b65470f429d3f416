/**
 * Copies a run's memory from one engine to another and stops the run there.
 */
import type { RequestId } from '@acaciacrank/base';
import type { ForwardCodec } from '../../ForwardCodec/index.js';
import type { MovedRun } from '../../types.js';
import type { Upstream } from '../Upstream/index.js';

/** Options of {@link moveRun}. */
export interface MoveRunOptions {
  codec: ForwardCodec;
  source: Upstream;
  requestId: RequestId;
  /** `IP:PORT` of the engine that the run is to go on at. */
  target: string;
}

/** A run that has stopped, with its memory. */
export interface MoveResult extends MovedRun {
  /** Whether the memory is at the target; else it is still at the source. */
  readonly isAtTarget: boolean;
}

/** How long one copy may take, in milliseconds: some GB at about 1 Tbit/s, behind others. */
const copyLimitMs = 1_500;

/**
 * Moves a run: a copy while it goes on, then a last one for which it stops.
 *
 * @returns where the run can go on; undefined where it was not stopped, or nobody knows
 */
export async function moveRun(options: MoveRunOptions): Promise<MoveResult | undefined> {
  const { source } = options;
  const first = await callMove(options, false);
  // Without room at the target, or with the run at its end, it stays where it is.
  if (first?.status !== 200) return undefined;
  const last = await callMove(options, true);
  if (last?.handle === undefined) return undefined;
  return { source: source.address, handle: last.handle, isAtTarget: last.status === 200 };
}

async function callMove(
  { codec, source, requestId, target }: MoveRunOptions,
  isLast: boolean,
): Promise<{ status: number; handle: string | undefined } | undefined> {
  const connection = source.takeConnection();
  const call = codec.moveCall({ requestId, target, isLast });
  let isSound = false;
  try {
    const answer = await connection.client.request({
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
      signal: AbortSignal.timeout(copyLimitMs),
    });
    const handle = codec.readMoveAnswer(await answer.body.text());
    isSound = true;
    return { status: answer.statusCode, handle };
  } catch {
    // No answer: whether the run has stopped shows in its stream.
    return undefined;
  } finally {
    source.returnConnection(connection, isSound);
  }
}
