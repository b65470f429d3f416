import test from 'ava';
import { compareResults } from './index.js';

test('numeric fields that differ are returned with their ratio', (t) => {
  const before = [{ policy: 'a', size: 12, decisionMicroseconds: 2 }];
  const after = [{ policy: 'a', size: 12, decisionMicroseconds: 3 }];
  t.deepEqual(compareResults(before, after), [
    { row: 0, field: 'decisionMicroseconds', before: 2, after: 3, ratio: 1.5 },
  ]);
});
