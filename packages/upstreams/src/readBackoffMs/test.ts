import test from 'ava';
import { readBackoffMs } from './index.js';

// Guards against a backoff that is lost because of how it is written, and against one of a success.
test('reads the backoff of a refusal for overload', (t) => {
  t.is(readBackoffMs(503, { 'retry-after': '2' }), 2_000);
  t.is(readBackoffMs(429, { 'retry-after': '0.5' }), 500);
  t.is(readBackoffMs(503, { 'retry-after': ['1', '3', 'soon'] }), 3_000);
  t.is(readBackoffMs(503, { 'retry-after': '-1' }), undefined);
  t.is(readBackoffMs(503, {}), undefined);
  t.is(readBackoffMs(200, { 'retry-after': '2' }), undefined);
});
