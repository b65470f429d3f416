import test from 'ava';
import { estimateSlotWait } from './index.js';

const use = {
  slots: 16,
  ownRequests: 1,
  otherRequests: 0,
  reportAgeMs: 0,
  usualOtherRequests: 0,
  runTimeMs: 1_600,
};

test('there is no wait while a slot is free', (t) => {
  t.is(estimateSlotWait(use), 0);
  t.is(estimateSlotWait({ ...use, otherRequests: 14 }), 0);
  t.is(estimateSlotWait({ ...use, reportAgeMs: Infinity }), 0);
});

test('a request waits until a slot becomes free for each request ahead of it', (t) => {
  t.is(estimateSlotWait({ ...use, otherRequests: 15 }), 100);
  t.is(estimateSlotWait({ ...use, ownRequests: 16 }), 100);
  t.is(estimateSlotWait({ ...use, ownRequests: 4, otherRequests: 20 }), 900);
});

// Guards against an upstream that is avoided because of a load that ended long ago.
test('an old report counts for little', (t) => {
  t.is(estimateSlotWait({ ...use, otherRequests: 40, reportAgeMs: 3_200 }), 0);
});

// Guards against an engine that looks idle whenever the last report is old, though it is always full.
test('without a recent report the usual load counts', (t) => {
  const unknown = { ...use, reportAgeMs: Infinity, usualOtherRequests: 25 };
  t.is(estimateSlotWait(unknown), 1_100);
  t.is(estimateSlotWait({ ...unknown, reportAgeMs: 0 }), 0);
});

// Guards against a strange report that makes an upstream look endlessly busy or breaks the estimate.
test('strange reports give a finite estimate', (t) => {
  for (const otherRequests of [0, 1e6]) {
    for (const slots of [1, 1e6]) {
      const waitMs = estimateSlotWait({ ...use, slots, otherRequests });
      t.true(Number.isFinite(waitMs) && waitMs >= 0);
    }
  }
});
