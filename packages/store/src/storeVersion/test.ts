import test from 'ava';
import { composeVersion, epochOf, maxEpoch, revisionOf } from './index.js';

// Guards against taking a revision that was given out again for one that is already known.
test('versions are ordered by epoch first and never equal across epochs', (t) => {
  t.true(composeVersion(1, 1) > composeVersion(0, 1_000_000));
  t.not(composeVersion(1, 7), composeVersion(2, 7));
});

test('epoch and revision are exact up to the highest epoch', (t) => {
  for (const epoch of [0, 1, maxEpoch]) {
    const version = composeVersion(epoch, 2 ** 39 + 1);
    t.true(Number.isSafeInteger(version));
    t.is(epochOf(version), epoch);
    t.is(revisionOf(version), 2 ** 39 + 1);
  }
});
