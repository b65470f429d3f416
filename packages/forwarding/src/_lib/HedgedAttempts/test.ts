import test from 'ava';
import type { AttemptResult } from '../AttemptResult/index.js';
import { HedgedAttempts, type Contender } from './index.js';

class FakeAttempt implements Contender {
  wasSuperseded = false;
  #end: (result: AttemptResult) => void = () => undefined;
  readonly ended = new Promise<AttemptResult>((resolve) => {
    this.#end = resolve;
  });

  constructor(readonly name: string) {}

  end(result: AttemptResult): void {
    this.#end(result);
  }

  supersede(): void {
    this.wasSuperseded = true;
    this.#end({ kind: 'superseded', wasSent: true, wasSilent: true });
  }
}

const streamed: AttemptResult = { kind: 'streamed', longestGapMs: 10, isEmpty: false };
const broken: AttemptResult = { kind: 'broken', reason: 'reset', isConnectionLost: true };
const failed: AttemptResult = {
  kind: 'answer',
  status: 500,
  headers: [],
  isFramed: true,
  body: Buffer.alloc(0),
};

function start(hasBegun = false) {
  const ends: string[] = [];
  const attempts = new HedgedAttempts<FakeAttempt>({
    onEnded: ({ contender, result }) => {
      ends.push(`${contender.name} ${result.kind}`);
    },
    hasBegun: () => hasBegun,
  });
  const first = new FakeAttempt('first');
  const second = new FakeAttempt('second');
  attempts.add(first);
  attempts.add(second);
  return { attempts, first, second, ends };
}

test('the one that gives something ends the other, and its result counts', async (t) => {
  const { attempts, first, second, ends } = start();
  attempts.recordProgress(second);
  t.true(first.wasSuperseded);
  second.end(streamed);
  const { contender, result } = await attempts.result();
  t.is(contender, second);
  t.is(result, streamed);
  t.deepEqual(ends, ['first superseded', 'second streamed']);
});

// Guards against an answer that is lost since the attempt that was to replace it fails.
test('a second attempt that fails ends nothing', async (t) => {
  const { attempts, first, second } = start();
  second.end(broken);
  await Promise.resolve();
  t.false(first.wasSuperseded);
  first.end(streamed);
  t.is((await attempts.result()).contender, first);
});

// Guards against a failure of its own that an upstream's answer is lost for.
test('an answer that reports a failure waits for the other attempt, and counts if that one breaks', async (t) => {
  const { attempts, first, second } = start();
  second.end(failed);
  await Promise.resolve();
  t.false(first.wasSuperseded);
  first.end(broken);
  t.is((await attempts.result()).contender, second);
});

// Guards against "not run" while an attempt that was sent has not been accounted for.
test('the result comes once all have ended', async (t) => {
  const { attempts, first, second, ends } = start();
  first.end({ kind: 'deadline', wasSent: false });
  const { result } = await attempts.result();
  t.is(result.kind, 'deadline');
  t.true(second.wasSuperseded);
  t.is(ends.length, 2);
});

// Guards against a request that is sent once more without a retry, since an attempt that was not sent ended last.
test('of failures, one that may have run counts rather than one that was not sent', async (t) => {
  const { attempts, first, second } = start();
  first.end(broken);
  await Promise.resolve();
  second.end({ kind: 'notSent', reason: 'no connection' });
  t.is((await attempts.result()).result.kind, 'broken');
});

// Guards against a stream that is ended for an answer or an empty stream, of which nothing can be passed on.
test('once a stream has begun, what brings no event ends no other attempt', async (t) => {
  const refused: AttemptResult = { ...failed, status: 404 };
  for (const useless of [refused, { ...streamed, isEmpty: true }]) {
    const { attempts, first, second } = start(true);
    second.end(useless);
    await Promise.resolve();
    t.false(first.wasSuperseded);
    first.end(streamed);
    t.is((await attempts.result()).contender, first);
  }
});

// Guards against an answer that is replaced by the failure to wait for another one.
test('an answer that is held counts rather than a deadline that has passed', async (t) => {
  const { attempts, first, second } = start();
  second.end(failed);
  first.end({ kind: 'deadline', wasSent: true });
  t.is((await attempts.result()).contender, second);
});
