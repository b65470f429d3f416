import test from 'ava';
import { DepartureCheck } from './index.js';

/** Plays one pause of instance 0 from 1,000 to 2,000 ms; returns which requests were late. */
function play(calls: readonly { id: string; sentMs: number; arrivesMs: number }[]): string[] {
  let nowMs = 0;
  const violations: string[] = [];
  const check = new DepartureCheck({
    now: () => nowMs,
    onViolation: (_invariant, what) => violations.push(what.split(' ')[0] ?? ''),
  });
  const steps = [
    { atMs: 1_000, run: () => check.noteInstancePause(0, 1_000) },
    ...calls.flatMap(({ id, sentMs, arrivesMs }) => [
      { atMs: sentMs, run: () => check.noteSent(id, 0) },
      { atMs: sentMs + 90, run: () => check.noteDeparture(id) },
      { atMs: arrivesMs, run: () => check.noteArrival('u1', id) },
    ]),
  ];
  for (const { atMs, run } of steps.sort((a, b) => a.atMs - b.atMs)) {
    nowMs = atMs;
    run();
  }
  return violations;
}

// Guards against a check that excuses more than the one request that a stopped process was handling.
test('a pause excuses one request that its instance was just handling', (t) => {
  const caught = { id: 'caught', sentMs: 990, arrivesMs: 2_010 };
  t.deepEqual(play([caught]), []);
  t.deepEqual(play([caught, { ...caught, id: 'second', arrivesMs: 2_020 }]), ['second']);
});

test('a pause excuses no request that came during it, long before it or reached its upstream long after it', (t) => {
  t.deepEqual(play([{ id: 'during', sentMs: 1_100, arrivesMs: 2_010 }]), ['during']);
  t.deepEqual(play([{ id: 'before', sentMs: 800, arrivesMs: 2_010 }]), ['before']);
  t.deepEqual(play([{ id: 'after', sentMs: 990, arrivesMs: 2_700 }]), ['after']);
});
