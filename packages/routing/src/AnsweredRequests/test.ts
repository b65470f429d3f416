import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { AnsweredRequests } from './index.js';

test('a request counts as answered for a while', async (t) => {
  const clock = new ManualClock();
  const answered = new AnsweredRequests(clock);
  t.false(answered.has('a'));
  answered.record('a');
  await clock.advance(59_000);
  t.true(answered.has('a'));
  await clock.advance(1_000);
  t.false(answered.has('a'));
});

// Guards against memory that grows with the number of different requests.
test('the least recently answered requests are forgotten first', (t) => {
  const answered = new AnsweredRequests(new ManualClock());
  answered.record('first');
  answered.record('second');
  for (let index = 0; index < 4_094; index += 1) answered.record(`other-${index}`);
  answered.record('first');
  answered.record('last');
  t.false(answered.has('second'));
  t.true(answered.has('first'));
});
