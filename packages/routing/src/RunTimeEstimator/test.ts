import test from 'ava';
import { RunTimeEstimator } from './index.js';

test('the estimate follows the runs', (t) => {
  const estimator = new RunTimeEstimator();
  for (let run = 0; run < 200; run += 1) estimator.observe(40);
  t.true(Math.abs(estimator.runTimeMs - 40) < 1);
  for (let run = 0; run < 200; run += 1) estimator.observe(2_000);
  t.true(Math.abs(estimator.runTimeMs - 2_000) < 10);
});

// Guards against one run of strange length that decides for all.
test('strange times are bounded or ignored', (t) => {
  const estimator = new RunTimeEstimator();
  const before = estimator.runTimeMs;
  estimator.observe(NaN);
  estimator.observe(-5);
  t.is(estimator.runTimeMs, before);
  estimator.observe(1e12);
  t.true(estimator.runTimeMs < 5_000);
});
