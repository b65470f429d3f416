import test from 'ava';
import { hashText } from './index.js';

test('texts that differ in one character are spread over the hash range', (t) => {
  const buckets = new Set(Array.from({ length: 64 }, (_, index) => hashText(`a${index}`) % 16));
  t.is(buckets.size, 16);
});
