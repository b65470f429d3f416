import { ManualClock, Metrics } from '@acaciacrank/base';
import test, { type ExecutionContext } from 'ava';
import { NoAnswerError } from '../NoAnswerError/index.js';
import { ResponseMemory, type ReadBody } from './index.js';

const mebibyte = 1_048_576;

function createMemory() {
  const clock = new ManualClock();
  return { clock, memory: new ResponseMemory(clock, new Metrics()) };
}

function open(memory: ResponseMemory, isSuspect = false) {
  const errors: Error[] = [];
  const body = memory.open({
    isSuspect: () => isSuspect,
    onGiveWay: (error) => errors.push(error),
  });
  return { body, errors };
}

async function isPending(waiting: Promise<void> | undefined): Promise<boolean> {
  const pending = Symbol('pending');
  return (await Promise.race([waiting, Promise.resolve(pending)])) === (pending as unknown);
}

/** Reads a body to its end, unless it has to wait. */
async function readWhole(t: ExecutionContext, body: ReadBody, bytes: number): Promise<void> {
  for (let held = 65_536; held <= bytes; held += 65_536) await body.setBytes(held);
  t.is(body.bytes, bytes);
  body[Symbol.dispose]();
}

// Guards against sound bodies that are given up since many are read at the same time.
test('bodies that together exceed the bound are read one after the other, and whole', async (t) => {
  const { memory } = createMemory();
  const bodies = Array.from({ length: 20 }, () => open(memory));
  await Promise.all(bodies.map(({ body }) => readWhole(t, body, 5 * mebibyte)));
  t.true(bodies.every(({ errors }) => errors.length === 0));
  t.is(memory.totalBytes, 0);
});

// Guards against a body without end that takes the room of others.
test('the largest gives way to others once it exceeds its fair size', async (t) => {
  const { memory } = createMemory();
  const large = open(memory);
  const small = open(memory);
  void large.body.setBytes(6 * mebibyte);
  const waiting = small.body.setBytes(3 * mebibyte);
  t.true(await isPending(waiting));
  void large.body.setBytes(6 * mebibyte + 1);
  t.true(large.errors[0] instanceof NoAnswerError);
  t.false(await isPending(waiting));
  t.is(memory.totalBytes, 3 * mebibyte);
});

// Guards against bodies that wait for one that hardly grows.
test('a slow body gives way when others have waited for it', async (t) => {
  const { memory, clock } = createMemory();
  const slow = open(memory);
  const other = open(memory);
  void slow.body.setBytes(5 * mebibyte);
  const waiting = other.body.setBytes(3 * mebibyte);
  await clock.advance(249);
  t.is(slow.errors.length, 0);
  void slow.body.setBytes(5 * mebibyte + 200);
  await clock.advance(1);
  t.is(slow.errors.length, 1);
  t.false(await isPending(waiting));
});

// Guards against giving up a sound body over a slow link that continues.
test('a body that grows is waited for', async (t) => {
  const { memory, clock } = createMemory();
  const growing = open(memory);
  const other = open(memory);
  void growing.body.setBytes(5 * mebibyte);
  void other.body.setBytes(3 * mebibyte);
  for (let step = 1; step <= 3; step += 1) {
    await clock.advance(200);
    void growing.body.setBytes(5 * mebibyte + (step * mebibyte) / 4);
  }
  t.is(growing.errors.length, 0);
});

// Guards against one body without end after the other from the same upstream.
test('bodies of an upstream that poured before give way at a small size', (t) => {
  const { memory } = createMemory();
  const suspect = open(memory, true);
  void suspect.body.setBytes(mebibyte / 4);
  t.is(suspect.errors.length, 0);
  void suspect.body.setBytes(mebibyte / 4 + 1);
  t.is(suspect.errors.length, 1);
});

test('a body that gave way does not count again', (t) => {
  const { memory } = createMemory();
  const { body, errors } = open(memory);
  void body.setBytes(17 * mebibyte);
  t.is(errors.length, 1);
  t.is(body.setBytes(18 * mebibyte), undefined);
  body[Symbol.dispose]();
  t.is(memory.totalBytes, 0);
});
