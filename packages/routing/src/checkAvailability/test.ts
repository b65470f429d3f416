import test from 'ava';
import { checkAvailability, type AvailabilityConditions } from './index.js';

const free: AvailabilityConditions = {
  isLeaving: false,
  isDomainDrained: false,
  backoffWaitMs: 0,
  limitWaitMs: 0,
  warmUpWaitMs: 0,
  slotWaitMs: 0,
  hasConnection: true,
};

test('an upstream without a bound may be sent a request now', (t) => {
  t.deepEqual(checkAvailability(free), { bound: undefined, waitMs: 0 });
});

// Guards against a bound that ends another one, or hides it.
test('the strictest bound decides', (t) => {
  const bounds = { backoffWaitMs: 300, limitWaitMs: 500, warmUpWaitMs: 400 };
  t.deepEqual(checkAvailability({ ...free, ...bounds }), { bound: 'limit', waitMs: 500 });
  t.is(checkAvailability({ ...free, ...bounds, backoffWaitMs: 3_000 }).bound, 'backoff');
  t.is(checkAvailability({ ...free, ...bounds, warmUpWaitMs: Infinity }).bound, 'warmUp');
  t.is(checkAvailability({ ...free, ...bounds, slotWaitMs: 600 }).bound, 'slots');
  t.is(checkAvailability({ ...free, ...bounds, isDomainDrained: true }).bound, 'domainDrained');
  t.deepEqual(checkAvailability({ ...free, ...bounds, isDomainDrained: true, isLeaving: true }), {
    bound: 'leaving',
    waitMs: Infinity,
  });
});

// Guards against opening more connections than an upstream accepts.
test('an upstream without a connection has to wait for one', (t) => {
  t.deepEqual(checkAvailability({ ...free, hasConnection: false }), {
    bound: 'connections',
    waitMs: 0,
  });
});
