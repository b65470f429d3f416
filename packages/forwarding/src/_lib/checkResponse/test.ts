import test from 'ava';
import { findForeignReason } from './index.js';

// Guards against acting on what belongs to another request, and against refusing what can only be the own one.
test('a response is own by its id, or without one on a connection that had no other request', (t) => {
  const first = { requestId: 'a', isFirstOnConnection: true };
  const later = { requestId: 'a', isFirstOnConnection: false };
  for (const context of [first, later]) {
    t.is(findForeignReason({ requestId: 'a' }, context), undefined);
    t.is(findForeignReason({ requestId: 'b' }, context), 'otherRequest');
  }
  t.is(findForeignReason({ requestId: undefined }, first), undefined);
  t.is(findForeignReason({ requestId: undefined }, later), 'noRequestId');
  const unnamed = { ...later, requestId: undefined };
  t.is(findForeignReason({ requestId: 'b' }, unnamed), 'otherRequest');
});
