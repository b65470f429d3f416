import test from 'ava';
import type { RouterError } from '@acaciacrank/base';
import { BodyMemory } from './index.js';

function openIncomplete(memory: BodyMemory, bytes: number) {
  const held = memory.open();
  const errors: RouterError[] = [];
  held.beginReading((error) => errors.push(error));
  held.take(bytes);
  return { held, errors };
}

// Guards against bodies that stop short of their end and refuse those of all others.
test('the body that has been incomplete for longest gives way to another', (t) => {
  const memory = new BodyMemory({ maxBytes: 100 });
  const [first, second] = [openIncomplete(memory, 40), openIncomplete(memory, 40)];
  memory.open().take(30);
  t.deepEqual(
    [first, second].map(({ errors }) => errors.map(({ kind }) => kind)),
    [['overloaded'], []],
  );
  t.is(memory.heldBytes, 70);
});

test('a complete body does not give way', (t) => {
  const memory = new BodyMemory({ maxBytes: 100 });
  const { held, errors } = openIncomplete(memory, 80);
  held.endReading();
  t.throws(() => memory.open().take(30), { message: /memory limit/ });
  t.is(errors.length, 0);
  held[Symbol.dispose]();
  t.is(memory.heldBytes, 0);
});

test('a body that needs more than all others hold is refused itself', (t) => {
  const memory = new BodyMemory({ maxBytes: 100 });
  const { held } = openIncomplete(memory, 60);
  t.throws(() => {
    held.take(60);
  });
});

// Guards against the time that bodies in very small chunks take, all of them together.
test('bodies in very small chunks are few at a time', (t) => {
  const memory = new BodyMemory({ maxBytes: 1_000 });
  const bodies = Array.from({ length: 9 }, () => openIncomplete(memory, 1));
  for (const { held } of bodies) held.recordFragmented();
  t.deepEqual(
    bodies.map(({ errors }) => errors.length),
    [1, 0, 0, 0, 0, 0, 0, 0, 0],
  );
});

test('a body is refused while the buffers of the process are too large, unless it is small or alone', (t) => {
  let isHigh = false;
  const memory = new BodyMemory({ maxBytes: 100_000, pressure: { isHighAfter: () => isHigh } });
  const { held } = openIncomplete(memory, 5_000);
  const { held: other } = openIncomplete(memory, 5_000);
  held.take(1);
  isHigh = true;
  t.throws(() => {
    held.take(1);
  });
  t.throws(() => {
    memory.open().take(5_000);
  });
  const small = memory.open();
  t.notThrows(() => {
    small.take(1_000);
  });
  small[Symbol.dispose]();
  other[Symbol.dispose]();
  t.notThrows(() => {
    held.take(1);
  });
});

test('a body alone is not refused for the buffers of the process', (t) => {
  const memory = new BodyMemory({ maxBytes: 100_000, pressure: { isHighAfter: () => true } });
  const { held } = openIncomplete(memory, 50_000);
  t.notThrows(() => {
    held.take(10_000);
  });
});

test('there is room for a body that is not read yet if others give way, or it is small or alone', (t) => {
  let isHigh = true;
  const memory = new BodyMemory({ maxBytes: 100_000, pressure: { isHighAfter: () => isHigh } });
  t.true(memory.hasRoomFor(50_000));
  const { held } = openIncomplete(memory, 80_000);
  t.false(memory.hasRoomFor(50_000));
  t.false(memory.hasRoomFor(0));
  t.true(memory.hasRoomFor(1_000));
  isHigh = false;
  t.true(memory.hasRoomFor(50_000));
  held.endReading();
  t.false(memory.hasRoomFor(50_000));
  t.true(memory.hasRoomFor(10_000));
});

// Guards against large answers that clients do not read: each is within its limit, together they exhaust the memory.
test('the response of which nothing was read for longest is closed where responses take too much', (t) => {
  let closedCount = 0;
  const onResponseClosed = () => (closedCount += 1);
  const memory = new BodyMemory({ maxBytes: 100, onResponseClosed });
  const open = (bytes: number) => {
    const held = memory.open();
    const state = { held, isClosed: false };
    held.addResponse(bytes, { req: { socket: { destroy: () => (state.isClosed = true) } } });
    return state;
  };
  const responses = [open(30), open(30)];
  responses[0]?.held.recordRead();
  responses.push(open(30));
  t.deepEqual(
    responses.map(({ isClosed }) => isClosed),
    [false, true, false],
  );
  t.is(closedCount, 1);
  t.is(memory.heldBytes, 60);
  const large = open(90);
  t.false(large.isClosed);
  t.is(memory.heldBytes, 90);
  large.held[Symbol.dispose]();
  t.is(memory.heldBytes, 0);
});
