import test from 'ava';
import { hashText, hashTextsStartingWith } from './index.js';

test('texts that differ in one character are spread over the hash range', (t) => {
  const buckets = new Set(Array.from({ length: 64 }, (_, index) => hashText(`a${index}`) % 16));
  t.is(buckets.size, 16);
});

test('a hash with a common start is that of the whole text', (t) => {
  const hashOf = hashTextsStartingWith('part/');
  for (const id of ['', 'e1', 'i-7f3a91c2']) t.is(hashOf(id), hashText(`part/${id}`));
});
