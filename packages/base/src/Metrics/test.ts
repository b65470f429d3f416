import test from 'ava';
import { Metrics, overflowSeries } from './index.js';

test('values of series past the bound go to the overflow series', (t) => {
  const metrics = new Metrics({ maxSeries: 2 });
  for (const account of ['a', 'b', 'c', 'd', 'a']) metrics.count('requests', account);
  t.is(metrics.counter('requests', 'a'), 2);
  t.is(metrics.counter('requests', overflowSeries), 2);
  t.is(metrics.counter('requests', 'c'), 0);
});

test('histograms summarise the recorded values', (t) => {
  const metrics = new Metrics();
  for (let value = 1; value <= 100; value += 1) metrics.record('firstTokenMs', 'a/shift', value);
  const [summary] = metrics.summaries();
  t.is(summary?.count, 100);
  t.is(summary?.p50, 50);
});
