import test from 'ava';
import { ExhaustionCache } from './index.js';

test('an entry applies for one second to requests that need more than the remaining tokens', (t) => {
  const cache = new ExhaustionCache<'exhausted'>();
  t.is(cache.lookUp(100, 0), undefined);
  t.is(cache.record('exhausted', 50, 1_000), 'exhausted');
  t.is(cache.lookUp(51, 1_999), 'exhausted');
  t.is(cache.lookUp(50, 1_999), undefined);
  t.true(cache.isActive(1_999));
  t.is(cache.lookUp(51, 2_000), undefined);
  t.false(cache.isActive(2_000));
});

test('a cleared entry no longer applies', (t) => {
  const cache = new ExhaustionCache<'exhausted'>();
  cache.record('exhausted', 0, 0);
  cache.clear();
  t.is(cache.lookUp(1, 1), undefined);
});
