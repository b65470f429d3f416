import test from 'ava';
import { combineKnowledge, decideResend, mayHaveRun, type RunKnowledge } from './index.js';

const knowledges = ['notSent', 'notRun', 'ran', 'unknown'] as const;

/** What is expected for a request that must not run twice, and for one that may, while the route allows a further send. */
const expected: Record<RunKnowledge, readonly ['send' | 'mayHaveRun', 'send']> = {
  notSent: ['send', 'send'],
  notRun: ['send', 'send'],
  ran: ['mayHaveRun', 'send'],
  unknown: ['mayHaveRun', 'send'],
};

// Guards against a request that runs twice, whatever led to its second send.
test('all combinations of what is known, kind of request and sends', (t) => {
  for (const knowledge of knowledges) {
    const [once, repeatable] = expected[knowledge];
    for (const [sends, maxSends] of [
      [0, 1],
      [1, 1],
      [1, 2],
      [2, 2],
      [2, 3],
      [3, 3],
    ] as const) {
      const evidence = { knowledge, sends, maxSends };
      const atLimit = sends >= maxSends;
      const onceDecision = once === 'send' && atLimit ? 'routeLimit' : once;
      t.is(decideResend({ ...evidence, isRepeatable: false }), onceDecision);
      t.is(decideResend({ ...evidence, isRepeatable: true }), atLimit ? 'routeLimit' : repeatable);
    }
  }
});

// Guards against a certain answer about one send that hides what another one may have done.
test('of several sends the one that may have run decides', (t) => {
  for (const one of knowledges) {
    for (const other of knowledges) {
      const both = combineKnowledge(one, other);
      t.is(mayHaveRun(both), mayHaveRun(one) || mayHaveRun(other));
      t.is(both, combineKnowledge(other, one));
    }
  }
});
