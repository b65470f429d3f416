import test from 'ava';
import { measureSilence } from './index.js';

test('upstreams without requests count as neither speaking nor silent', (t) => {
  const idle = { sinceReceivedMs: Infinity, longestWaitMs: 0 };
  const speaking = { sinceReceivedMs: 20, longestWaitMs: 2_000 };
  const silent = { sinceReceivedMs: 900, longestWaitMs: 900 };
  t.deepEqual(measureSilence([idle, speaking, silent, silent], 500), { speaking: 1, silent: 2 });
});

test('a request that was just sent makes no upstream silent', (t) => {
  const justUsed = { sinceReceivedMs: 60_000, longestWaitMs: 30 };
  t.deepEqual(measureSilence([justUsed], 500), { speaking: 0, silent: 0 });
});
