import test from 'ava';
import type { RequestId } from '@acaciacrank/base';
import type { EngineFrame } from '../types.js';
import { checkFrames } from './index.js';

const id = 'r1' as RequestId;
const token = (sequence: number, requestId = id): EngineFrame => ({
  kind: 'token',
  requestId,
  sequence,
  text: 'x',
});
const end = (sequence: number): EngineFrame => ({
  kind: 'end',
  requestId: id,
  sequence,
  finishReason: 'stop',
  promptTokens: 1,
  outputTokens: sequence,
});

async function* stream(...frames: EngineFrame[]): AsyncIterable<EngineFrame> {
  yield* frames;
}

async function collect(frames: AsyncIterable<EngineFrame>): Promise<number[]> {
  const sequences: number[] = [];
  for await (const frame of frames) sequences.push(frame.sequence);
  return sequences;
}

test('tokens that were already forwarded are dropped from a resumed stream', async (t) => {
  t.deepEqual(
    await collect(checkFrames(stream(token(0), token(1), token(2), end(3)), id, 2)),
    [2, 3],
  );
});

// Guards against exposing another caller's answer: a connection was assigned to the wrong request.
test("another request's token is never forwarded", async (t) => {
  const frames = stream(token(0), token(1, 'r2' as RequestId), end(2));
  await t.throwsAsync(collect(checkFrames(frames, id, 0)), { message: /a frame of r2 came/ });
});

// Guards against an answer with missing tokens: frames were lost between two connections.
test('a gap and a missing end are errors', async (t) => {
  await t.throwsAsync(collect(checkFrames(stream(token(0), token(2)), id, 0)), {
    message: /1 was due/,
  });
  await t.throwsAsync(collect(checkFrames(stream(token(0)), id, 0)), {
    message: /stopped after 1/,
  });
});
