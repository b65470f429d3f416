import { Metrics } from '@acaciacrank/base';
import test from 'ava';
import { SendGate } from './index.js';

/** A clock whose reads of all connections are carried out by the test. */
class ReadClock {
  unread = 0;
  readonly reads: (() => void)[] = [];

  unreadMs(): number {
    return this.unread;
  }

  afterReads(task: () => void): void {
    this.reads.push(task);
  }

  /** Lets one read of all connections happen, and whoever waited for it continue. */
  async read(): Promise<void> {
    this.reads.shift()?.();
    await Promise.resolve();
  }
}

function enterMany(gate: SendGate, count: number): { passed: number } {
  const state = { passed: 0 };
  for (let index = 0; index < count; index += 1) void gate.enter()?.then(() => (state.passed += 1));
  return state;
}

// Guards against a cost to requests that are read in time.
test('an instance that is in time holds nothing back', (t) => {
  const clock = new ReadClock();
  const gate = new SendGate({ clock, metrics: new Metrics() });
  clock.unread = 100;
  t.false(gate.isLate);
  t.is(gate.enter(), undefined);
  t.is(clock.reads.length, 0);
});

// Guards against a request that is let through by a read that began before it was held.
test('a request waits for a read that begins after it was held', async (t) => {
  const clock = new ReadClock();
  const gate = new SendGate({ clock, metrics: new Metrics() });
  clock.unread = 900;
  const first = enterMany(gate, 1);
  const second = enterMany(gate, 1);
  await clock.read();
  t.deepEqual([first.passed, second.passed], [1, 0]);
  await clock.read();
  t.is(second.passed, 1);
  t.is(clock.reads.length, 0);
});

// Guards against many requests that are sent after one read, while the ends of their connections arrive.
test('a crowd is let through in parts, each after a read', async (t) => {
  const clock = new ReadClock();
  const gate = new SendGate({ clock, metrics: new Metrics() });
  clock.unread = 900;
  const crowd = enterMany(gate, 900);
  let reads = 0;
  for (let before = 0; clock.reads.length > 0; before = crowd.passed) {
    await clock.read();
    t.true(crowd.passed - before <= 32);
    reads += 1;
  }
  t.is(crowd.passed, 900);
  t.true(reads < 35);
});
