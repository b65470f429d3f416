import { RouterError, type RequestId } from '@acaciacrank/base';
import type { EngineFrame } from '../types.js';

/**
 * Forwards only frames that belong to the request, in order and without gaps, up to the end frame.
 *
 * Guards against spliced answers: after a reconnect or behind a faulty proxy, an engine's stream
 * may contain tokens of another request, skip tokens or end early. This is detected by a wrong
 * request id, a wrong sequence number or a missing end frame before any of it reaches a caller. A
 * token that was already forwarded (after a resume that starts too early) is dropped.
 *
 * @param frames - what the engine sent
 * @param requestId - the request that the frames must belong to
 * @param offset - the sequence number of the first expected token
 * @returns the checked frames
 * @throws RouterError `upstreamFailed` at the first invalid frame
 *
 * @example
 * for await (const frame of checkFrames(engine.generate(request, signal), request.requestId, 0)) send(frame);
 */
export async function* checkFrames(
  frames: AsyncIterable<EngineFrame>,
  requestId: RequestId,
  offset: number,
): AsyncIterable<EngineFrame> {
  let expected = offset;
  for await (const frame of frames) {
    if (frame.requestId !== requestId) {
      throw new RouterError(
        'upstreamFailed',
        `a frame of ${frame.requestId} came for ${requestId}`,
      );
    }
    if (frame.kind === 'token' && frame.sequence < expected) continue;
    if (frame.sequence !== expected) {
      throw new RouterError(
        'upstreamFailed',
        `received frame ${frame.sequence} where frame ${expected} was due`,
      );
    }
    yield frame;
    if (frame.kind === 'end') return;
    expected += 1;
  }
  throw new RouterError(
    'upstreamFailed',
    `the stream stopped after ${expected} tokens without an end frame`,
  );
}
