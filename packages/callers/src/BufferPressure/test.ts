import test from 'ava';
import { bytesInMebibyte, collectGarbage, ManualClock } from '@acaciacrank/base';
import { getHeapStatistics } from 'node:v8';
import { BufferPressure } from './index.js';

function createRig() {
  const clock = new ManualClock();
  const buffers = { bytes: 0, collectedTo: 0, collections: 0, youngCollections: 0 };
  const pressure = new BufferPressure({
    clock,
    maxBytes: 100,
    measureBytes: () => buffers.bytes,
    collect: () => {
      buffers.collections += 1;
      buffers.bytes = buffers.collectedTo;
    },
    collectYoung: () => {
      buffers.youngCollections += 1;
      buffers.bytes = buffers.collectedTo;
    },
  });
  return { clock, buffers, isHigh: () => pressure.isHighAfter(bytesInMebibyte) };
}

test('what can be collected does not count', (t) => {
  const { buffers, isHigh } = createRig();
  buffers.bytes = 101;
  t.false(isHigh());
  t.is(buffers.collections, 1);
});

test('collections keep an interval, and the pressure is high between them', async (t) => {
  const { clock, buffers, isHigh } = createRig();
  buffers.bytes = 101;
  buffers.collectedTo = 101;
  t.true(isHigh());
  buffers.collectedTo = 50;
  t.true(isHigh());
  t.is(buffers.collections, 1);
  await clock.advance(500);
  t.false(isHigh());
});

// Guards against a crowd that fills the memory with refused bodies from one collection to the next.
test('what is young is collected between them, after so many bytes', (t) => {
  const { buffers, isHigh } = createRig();
  buffers.bytes = 101;
  buffers.collectedTo = 101;
  for (let count = 0; count < 9; count += 1) t.true(isHigh());
  t.is(buffers.collections, 1);
  t.is(buffers.youngCollections, 1);
  buffers.bytes = 50;
  t.false(isHigh());
});

test('everything is collected sooner after many bytes', async (t) => {
  const { clock, buffers, isHigh } = createRig();
  buffers.bytes = 101;
  buffers.collectedTo = 101;
  for (let count = 0; count < 17; count += 1) isHigh();
  t.is(buffers.collections, 1);
  await clock.advance(50);
  isHigh();
  t.is(buffers.collections, 2);
});

test('released buffers are collected', (t) => {
  const before = process.memoryUsage().arrayBuffers;
  for (let count = 0; count < 20; count += 1) Buffer.alloc(bytesInMebibyte, count);
  collectGarbage();
  t.true(process.memoryUsage().arrayBuffers < before + 10 * bytesInMebibyte);
});

// Guards against ordinary bodies that are refused for buffers that were released before.
test('the pressure is low at once when released buffers are collected', (t) => {
  const maxBytes = getHeapStatistics().external_memory + 10 * bytesInMebibyte;
  const pressure = new BufferPressure({ clock: new ManualClock(), maxBytes });
  for (let count = 0; count < 20; count += 1) Buffer.alloc(bytesInMebibyte, count);
  t.false(pressure.isHighAfter(bytesInMebibyte));
});
