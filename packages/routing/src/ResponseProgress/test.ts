import test from 'ava';
import { ResponseProgress } from './index.js';

const route = { targetLatencyMs: 400 };

function afterHead(isBounded = false): ResponseProgress {
  const progress = new ResponseProgress(route);
  progress.recordRead(300, 0);
  progress.recordHead({ isBounded });
  return progress;
}

/** Reads parts at an interval until they are taken for no answer; returns when. */
function readParts(progress: ResponseProgress, bytes: number, intervalMs: number, untilMs: number) {
  for (let nowMs = intervalMs; nowMs <= untilMs; nowMs += intervalMs) {
    progress.recordPayload(bytes);
    const reason = progress.recordRead(bytes, nowMs);
    if (reason !== undefined) return { reason, nowMs };
  }
  return undefined;
}

test('a head of more than its size is none', (t) => {
  const progress = new ResponseProgress(route);
  t.is(progress.recordRead(32_768, 0), undefined);
  t.is(progress.recordRead(1, 1), 'headBytes');
});

test('a head at one byte a second is none, after two seconds', (t) => {
  const progress = new ResponseProgress(route);
  t.is(progress.recordRead(1, 0), undefined);
  t.is(progress.recordRead(1, 1_000), undefined);
  t.is(progress.recordRead(1, 2_000), 'slowHead');
});

// Guards against ending an upstream for its silence.
test('a head that is interrupted for long is one', (t) => {
  const progress = new ResponseProgress(route);
  t.is(progress.recordRead(100, 0), undefined);
  t.is(progress.recordRead(100, 60_000), undefined);
});

test('some interim responses are allowed', (t) => {
  const progress = new ResponseProgress(route);
  for (let index = 0; index < 32; index += 1) t.is(progress.recordInterim(), undefined);
  t.is(progress.recordInterim(), 'interimResponses');
});

test('framing without a body is no answer', (t) => {
  const progress = afterHead();
  t.is(progress.recordRead(32_768, 1), undefined);
  t.is(progress.recordRead(1, 2), 'framingBytes');
});

test('a small body in chunks of one byte is an answer, a large one is not', (t) => {
  const progress = afterHead();
  progress.recordPayload(10_000);
  t.is(progress.recordRead(60_000, 1), undefined);
  progress.recordPayload(5_000);
  t.is(progress.recordRead(30_000, 2), 'framingBytes');
});

test('events in a chunk each are an answer', (t) => {
  const progress = afterHead();
  progress.recordPayload(15_000_000);
  t.is(progress.recordRead(15_000_000 + 6_000_000, 1), undefined);
});

test('a trickle is no answer', (t) => {
  t.deepEqual(readParts(afterHead(), 200, 50, 5_000), { reason: 'trickle', nowMs: 2_000 });
});

// Guards against ending sound bodies that are slow: over a slow link, of a stated length, with pauses.
test('slow bodies are answers', (t) => {
  t.is(readParts(afterHead(), 1_448, 50, 20_000), undefined);
  t.is(readParts(afterHead(true), 200, 50, 20_000), undefined);
  t.is(readParts(afterHead(), 200, 1_000, 20_000), undefined);
});

test('events that are complete are no trickle', (t) => {
  const progress = afterHead();
  for (let nowMs = 50; nowMs < 20_000; nowMs += 50) {
    progress.recordPayload(60);
    t.is(progress.recordRead(66, nowMs), undefined);
    if (nowMs % 500 === 0) progress.recordEvent();
  }
});
