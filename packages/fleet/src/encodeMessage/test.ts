import test from 'ava';
import * as codec from 'msgpackr/unpack';
import { decodeMessage, encodeFrame } from './index.js';

test('an invalid message decodes to undefined instead of throwing', (t) => {
  t.is(decodeMessage(Buffer.from([0xc1])), undefined);
  t.is(decodeMessage(new Uint8Array()), undefined);
  t.is(decodeMessage(encodeFrame({ kind: 'unheardOf' })), undefined);
  t.is(decodeMessage(encodeFrame({ kind: 'configurationChanged', version: -1 })), undefined);
  t.like(decodeMessage(encodeFrame({ kind: 'configurationChanged', version: 2 })), { version: 2 });
});

// With msgpackr's native string reader, about one test run in twenty decoded heartbeats whose
// strings were in the wrong fields, for example one member's address as another member's state.
test('the native string reader is not loaded', (t) => {
  // Exported, but missing from the package's types.
  t.is((codec as Record<string, unknown>).isNativeAccelerationEnabled, false);
});
