import test from 'ava';
import { chooseDirectoryInstances, type DirectoryView } from './index.js';

const healthyView: DirectoryView<string> = {
  self: 'a',
  isReady: true,
  isShortOfTokens: false,
  isReachingUpstreams: true,
  isStoreUnavailable: false,
  usablePeers: ['b', 'c'],
  peerCount: 2,
};

test('an instance lists itself and its usable peers', (t) => {
  t.deepEqual(chooseDirectoryInstances(healthyView), ['a', 'b', 'c']);
  t.deepEqual(chooseDirectoryInstances({ ...healthyView, isReady: false }), ['b', 'c']);
  t.deepEqual(chooseDirectoryInstances({ ...healthyView, isStoreUnavailable: true }), [
    'a',
    'b',
    'c',
  ]);
});

// Guards against callers that stay with an instance without tokens while other instances have some.
test('an instance that is short of tokens lists only the others', (t) => {
  t.deepEqual(chooseDirectoryInstances({ ...healthyView, isShortOfTokens: true }), ['b', 'c']);
});

// Guards against callers that all move to an instance that only they can reach.
test('an instance that reaches neither the store nor a peer lists none', (t) => {
  t.deepEqual(
    chooseDirectoryInstances({ ...healthyView, isStoreUnavailable: true, usablePeers: [] }),
    [],
  );
});

// Guards against an empty directory when only one instance is left.
test('the last instance of a fleet and a single instance list themselves', (t) => {
  t.deepEqual(chooseDirectoryInstances({ ...healthyView, usablePeers: [] }), ['a']);
  t.deepEqual(
    chooseDirectoryInstances({ ...healthyView, isShortOfTokens: true, usablePeers: [] }),
    ['a'],
  );
  t.deepEqual(
    chooseDirectoryInstances({
      ...healthyView,
      isStoreUnavailable: true,
      usablePeers: [],
      peerCount: 0,
    }),
    ['a'],
  );
});

// Guards against two instances that are partitioned together and send callers to each other for
// tokens.
test('an instance in a minority partition lists none once it is short of tokens', (t) => {
  const minorityView = {
    ...healthyView,
    isStoreUnavailable: true,
    usablePeers: ['b'],
    peerCount: 4,
  };
  t.deepEqual(chooseDirectoryInstances(minorityView), ['a', 'b']);
  t.deepEqual(chooseDirectoryInstances({ ...minorityView, isShortOfTokens: true }), []);
  t.deepEqual(
    chooseDirectoryInstances({ ...minorityView, isShortOfTokens: true, usablePeers: ['b', 'c'] }),
    ['b', 'c'],
  );
});
