import test from 'ava';
import * as fc from 'fast-check';
import { parseTarget } from './index.js';

test('a target is split into path and query', (t) => {
  t.deepEqual(parseTarget('/a/b?c=/d?e'), { path: '/a/b', query: '?c=/d?e' });
  t.deepEqual(parseTarget('http://host:1/a?b'), { path: '/a', query: '?b' });
  t.deepEqual(parseTarget('http://host'), { path: '/', query: '' });
  t.deepEqual(parseTarget('//'), { path: '//', query: '' });
  t.deepEqual(parseTarget('*'), { path: '*', query: '' });
  t.deepEqual(parseTarget(undefined), { path: '/', query: '' });
});

// Guards against a request line that ends the process.
test('any text is taken', (t) => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      parseTarget(text);
    }),
  );
  t.pass();
});
