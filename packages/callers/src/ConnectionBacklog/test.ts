import test from 'ava';
import { Socket } from 'node:net';
import { ConnectionBacklog } from './index.js';

/** A clock whose turns of the event loop are carried out by the test. */
class TurnClock {
  nowMs = 0;
  lateMs = 0;
  #tasksOfTurn: (() => void)[] = [];
  #tasksOfTurnBefore: (() => void)[] = [];

  monotonicMs(): number {
    return this.nowMs;
  }

  unreadMs(): number {
    return this.lateMs;
  }

  afterReads(task: () => void): void {
    this.#tasksOfTurn.push(task);
  }

  /** Ends a turn that took so long; what waits for reads since the turn before has seen those of this one. */
  endTurn(tookMs: number): void {
    this.nowMs += tookMs;
    const tasks = this.#tasksOfTurnBefore;
    this.#tasksOfTurnBefore = this.#tasksOfTurn;
    this.#tasksOfTurn = [];
    for (const task of tasks) task();
  }
}

function accept(backlog: ConnectionBacklog): boolean {
  const socket = new Socket();
  backlog.recordAccepted(socket);
  return backlog.takeLate(socket);
}

// Guards against requests of a crowd that are taken for fresh, since each turn by itself is short.
test('connections late in a crowd count as late, from a bound on', (t) => {
  const clock = new TurnClock();
  const backlog = new ConnectionBacklog(clock);
  const late: boolean[] = [];
  for (let index = 0; index < 100; index += 1) {
    late.push(accept(backlog));
    clock.endTurn(4);
  }
  t.deepEqual(late, [...Array<boolean>(38).fill(false), ...Array<boolean>(62).fill(true)]);
});

// Guards against a cost to callers of an instance that keeps up.
test('a turn without a connection shows that none waits', (t) => {
  const clock = new TurnClock();
  const backlog = new ConnectionBacklog(clock);
  for (let index = 0; index < 100; index += 1) {
    t.false(accept(backlog));
    clock.endTurn(4);
    clock.endTurn(4);
  }
});

// Guards against connections that waited for an instance that stood still, the first one included.
test('the time for which nothing was read counts', (t) => {
  const clock = new TurnClock();
  const backlog = new ConnectionBacklog(clock);
  clock.lateMs = 900;
  t.true(accept(backlog));
  clock.lateMs = 0;
  clock.endTurn(1);
  t.true(accept(backlog));
});
