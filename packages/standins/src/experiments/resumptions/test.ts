import test from 'ava';
import { simulateResumptions } from './index.js';

const calm = { instances: 28, failure: 'none', streamsPerInstance: 11 } as const;

function shareKnown({ known, takenUp }: { known: number; takenUp: number }): number {
  return known / takenUp;
}

// Guards against streams that are refused although the instances that know them live.
test('with all instances alive, streams are known wherever they are taken up', async (t) => {
  for (const instances of [2, 28, 78]) {
    const result = await simulateResumptions({ ...calm, instances }, 1);
    t.is(shareKnown(result), 1);
    t.is(result.mistaken, 0);
  }
  t.true(shareKnown(await simulateResumptions({ ...calm, failure: 'lossy' }, 1)) >= 0.95);
});

// Guards against streams that are lost with the instance that began them.
test('when an instance has ended, its streams are known elsewhere', async (t) => {
  for (const instances of [2, 28, 78]) {
    const result = await simulateResumptions({ ...calm, instances, failure: 'oneEnded' }, 1);
    t.true(shareKnown(result) >= 0.9, `${shareKnown(result)} at ${instances}`);
  }
  const half = await simulateResumptions({ ...calm, failure: 'halfEnded' }, 1);
  t.true(shareKnown(half) >= 0.5, `${shareKnown(half)}`);
});

// Guards against a guess across a cut, and against callers that wait for it.
test('across a cut, a stream is known or refused soon, and never mistaken', async (t) => {
  const result = await simulateResumptions({ ...calm, failure: 'halfCut' }, 1);
  t.is(result.mistaken, 0);
  t.true(result.longestMs <= 200);
});

// Guards against a cost of calm streams that grows with the fleet.
test('a stream costs no more messages and bytes in a large fleet than in a small one', async (t) => {
  const few = await simulateResumptions({ ...calm, instances: 28 }, 1);
  const many = await simulateResumptions({ ...calm, instances: 280 }, 1);
  t.true(few.messagesPerStream <= 2 && many.messagesPerStream <= 2);
  t.true(many.bytesPerStream <= 1.1 * few.bytesPerStream);
});
