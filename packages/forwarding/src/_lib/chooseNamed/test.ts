import test from 'ava';
import { chooseNamed, type NamingView } from './index.js';

const calm: NamingView<string> = {
  self: 'a',
  isReady: true,
  isShortOfTokens: false,
  isStoreAway: false,
  usable: ['b', 'c'],
  peerCount: 2,
};

test('an instance names itself and those that answer', (t) => {
  t.deepEqual(chooseNamed(calm), ['a', 'b', 'c']);
  t.deepEqual(chooseNamed({ ...calm, isReady: false }), ['b', 'c']);
  t.deepEqual(chooseNamed({ ...calm, isStoreAway: true }), ['a', 'b', 'c']);
});

// Guards against callers who stay where tokens cannot be had while others can grant them.
test('an instance that is short of tokens names the others', (t) => {
  t.deepEqual(chooseNamed({ ...calm, isShortOfTokens: true }), ['b', 'c']);
});

// Guards against callers who gather at an instance that is cut off from everything but them.
test('an instance that reaches neither the store nor a peer names nobody', (t) => {
  t.deepEqual(chooseNamed({ ...calm, isStoreAway: true, usable: [] }), []);
});

// Guards against a fleet that nobody names since only one instance is left.
test('the last instance names itself, and so does one that runs alone', (t) => {
  t.deepEqual(chooseNamed({ ...calm, usable: [] }), ['a']);
  t.deepEqual(chooseNamed({ ...calm, isShortOfTokens: true, usable: [] }), ['a']);
  t.deepEqual(chooseNamed({ ...calm, isStoreAway: true, usable: [], peerCount: 0 }), ['a']);
});

// Guards against two instances that are cut off together and send callers to each other for tokens.
test('one of a few that are cut off names nobody once it is short of tokens', (t) => {
  const few = { ...calm, isStoreAway: true, usable: ['b'], peerCount: 4 };
  t.deepEqual(chooseNamed(few), ['a', 'b']);
  t.deepEqual(chooseNamed({ ...few, isShortOfTokens: true }), []);
  t.deepEqual(chooseNamed({ ...few, isShortOfTokens: true, usable: ['b', 'c'] }), ['b', 'c']);
});
