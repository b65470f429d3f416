import test from 'ava';
import * as fc from 'fast-check';
import { BodyBuffer } from './index.js';

test('a body of one chunk is kept as it was received', (t) => {
  const body = new BodyBuffer();
  const chunk = Buffer.from('whole');
  t.is(body.append(chunk), chunk.byteLength);
  t.is(body.toBuffer(), chunk);
});

test('the chunks of a body are joined in order, whatever their sizes', (t) => {
  const sizes = fc.array(fc.oneof(fc.integer({ min: 1, max: 20 }), fc.constantFrom(4_096, 9_000)));
  fc.assert(
    fc.property(sizes, (lengths) => {
      const chunks = lengths.map((length, index) => Buffer.alloc(length, index % 251));
      const body = new BodyBuffer();
      for (const chunk of chunks) body.append(chunk);
      return body.toBuffer().equals(Buffer.concat(chunks));
    }),
  );
  t.pass();
});

// Guards against chunks of one byte that each keep an object and a buffer of their own.
test('what is allocated for very small chunks is counted, and is near to their bytes', (t) => {
  const body = new BodyBuffer();
  let allocatedBytes = 0;
  for (let count = 0; count < 100_000; count += 1) allocatedBytes += body.append(Buffer.from('x'));
  t.true(allocatedBytes >= 100_000);
  t.true(allocatedBytes <= 250_000, `${allocatedBytes}`);
  t.true(body.isFragmented);
});
