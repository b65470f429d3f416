import test from 'ava';
import { RouterError } from '../RouterError/index.js';
import { toRouterError } from './index.js';

test('keeps a RouterError and wraps other errors', (t) => {
  const original = new RouterError('tooLarge', 'the body has 9 bytes; 8 are allowed');
  t.is(toRouterError(original), original);
  t.is(original.httpStatus, 413);
  const wrapped = toRouterError(new TypeError('boom'));
  t.is(wrapped.kind, 'internal');
  t.is(wrapped.ran, 'unknown');
  t.regex(wrapped.message, /boom/);
  t.regex(wrapped.fullStack, /caused by: TypeError: boom/);
});
