import test from 'ava';
import { needsRunCheck } from './index.js';

const calm = { isResumption: false, isConnected: false, isDoubted: false, isMixed: false };

test('a new connection is checked where the run may be another one', (t) => {
  t.true(needsRunCheck({ ...calm, isResumption: true }));
  t.true(needsRunCheck({ ...calm, isDoubted: true }));
  t.true(needsRunCheck({ ...calm, isMixed: true }));
});

// Guards against a call to the upstream for each calm stream.
test('calm streams and open connections are not checked', (t) => {
  t.false(needsRunCheck(calm));
  const connected = { isResumption: true, isConnected: true, isDoubted: true, isMixed: true };
  t.false(needsRunCheck(connected));
});
