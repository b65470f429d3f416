import test from 'ava';
import { decideBodyMemory, type BodyUsage } from './index.js';

const bounds = { softBytes: 12, maxBytes: 16, fairBytes: 8, maxWaitMs: 250 };

function sized(bytes: number, isSuspect = false): BodyUsage {
  return { bytes, isSuspect };
}

test('all are read while there is room', (t) => {
  t.deepEqual(decideBodyMemory([sized(6), sized(6)], bounds, 0), { kind: 'readAll' });
  t.deepEqual(decideBodyMemory([], bounds, 0), { kind: 'readAll' });
});

// Guards against sound bodies that fail since many are read at the same time.
test('the largest is read first when memory is short', (t) => {
  const bodies = [sized(3), sized(6), sized(5)];
  t.deepEqual(decideBodyMemory(bodies, bounds, 0), { kind: 'readOne', body: sized(6) });
});

test('a large body by itself is read up to the bound', (t) => {
  t.deepEqual(decideBodyMemory([sized(16)], bounds, 900), { kind: 'readOne', body: sized(16) });
  t.deepEqual(decideBodyMemory([sized(17)], bounds, 0), { kind: 'end', body: sized(17) });
});

// Guards against a body without end that takes the room of all others, whoever is last.
test('the largest gives way beyond its fair size, or when others have waited for it', (t) => {
  t.deepEqual(decideBodyMemory([sized(9), sized(4)], bounds, 0), { kind: 'end', body: sized(9) });
  const bodies = [sized(7), sized(6)];
  t.deepEqual(decideBodyMemory(bodies, bounds, 250), { kind: 'end', body: sized(7) });
});

test('a body of a suspect upstream gives way first', (t) => {
  const bodies = [sized(7), sized(2, true), sized(4, true)];
  t.deepEqual(decideBodyMemory(bodies, bounds, 0), { kind: 'end', body: sized(4, true) });
});
