import test from 'ava';
import { parseBackoffMs } from './index.js';

// Guards against a backoff that is lost because of how it is written, and against one of a success.
test('reads the longest backoff of a refusal for overload', (t) => {
  t.is(parseBackoffMs(503, ['2']), 2_000);
  t.is(parseBackoffMs(429, ['0.5', 'soon']), 500);
  t.is(parseBackoffMs(503, ['1', '3', '-9']), 3_000);
  t.is(parseBackoffMs(503, []), undefined);
  t.is(parseBackoffMs(200, ['2']), undefined);
});
