import test from 'ava';
import { LoadAverage } from './index.js';

test('the average approaches a steady load and decays after it', (t) => {
  const average = new LoadAverage();
  t.is(average.at(0), 0);
  average.update(4, 0);
  t.is(average.at(0), 0);
  t.true(average.at(2_000) > 1 && average.at(2_000) < 2);
  t.true(average.at(30_000) > 3.9);
  average.update(0, 30_000);
  t.true(average.at(30_000) > 3.9);
  t.true(average.at(60_000) < 0.1);
});
