import test from 'ava';
import { contentLengthOf } from './index.js';

const response = { status: 200, declaredLength: '9', bodyBytes: 4, method: 'GET' };

// Guards against a body without a length, of which a part looks whole, and against one that the protocol forbids.
test('a response states the length of its body, or of the one that HEAD leaves out', (t) => {
  t.is(contentLengthOf(response), '4');
  t.is(contentLengthOf({ ...response, declaredLength: undefined, bodyBytes: 0 }), '0');
  t.is(contentLengthOf({ ...response, method: 'HEAD', bodyBytes: 0 }), '9');
  t.is(contentLengthOf({ ...response, method: 'HEAD', declaredLength: undefined }), undefined);
  for (const status of [204, 304]) t.is(contentLengthOf({ ...response, status }), undefined);
});
