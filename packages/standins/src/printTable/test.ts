import test from 'ava';
import { formatTable } from './index.js';

test('columns are as wide as their widest cell', (t) => {
  t.is(
    formatTable([
      { case: 'calm', n: 1 },
      { case: 'cut', n: 20 },
    ]),
    'case  n\ncalm  1\ncut   20',
  );
});
