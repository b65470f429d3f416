import test from 'ava';
import type { FeatureId, UpstreamId } from '@acaciacrank/base';
import { attributeCrashes, type AnswerKnowledge, type Crash } from './index.js';

const feature = (name: string) => name as FeatureId;

/** Creates a crash a number of seconds from the start, under requests given as `content: parts`. */
function crash(atS: number, requests: Readonly<Record<string, string>>): Crash {
  return {
    upstreamId: `u${atS}` as UpstreamId,
    atMs: 1_000 * atS,
    requests: Object.entries(requests).map(([content, parts]) => {
      return { content: feature(content), parts: parts.split(' ').filter(Boolean).map(feature) };
    }),
  };
}

/** What is known of answers: the features answered, and when in seconds; others are answered at all times. */
function knowledge(
  soundS: Readonly<Record<string, number>> = {},
  hasOthers = true,
): AnswerKnowledge {
  return {
    lastSoundMs: (name) => {
      const atS = soundS[name];
      return atS === undefined ? undefined : 1_000 * atS;
    },
    hasOthers: () => hasOthers,
    answeredUpToMs: () => Infinity,
  };
}

function blamedSets(crashes: readonly Crash[], known = knowledge()): string[] {
  const { blames } = attributeCrashes(crashes, known);
  return blames.map(({ features }) => [...features].sort().join(' ')).sort();
}

const threeCrashes = [
  crash(1, { one: 'a dd b1' }),
  crash(2, { two: 'a dd b2' }),
  crash(3, { three: 'a dd b3' }),
];

test('a part of different requests at three crashes is blamed', (t) => {
  t.deepEqual(blamedSets(threeCrashes, knowledge({ a: 4 })), ['dd']);
  t.deepEqual(blamedSets(threeCrashes.slice(1), knowledge({ a: 4 })), []);
});

// Guards against blame of what sound requests share with deadly ones, before any of them was answered.
test('parts that were always together are blamed only together', (t) => {
  t.deepEqual(blamedSets(threeCrashes), ['a dd']);
});

// Guards against a cause that goes free since others were beside it at first.
test('crashes without the other parts leave the one to blame', (t) => {
  const crashes = [...threeCrashes, crash(4, { four: 'c dd' }), crash(5, { five: 'e dd' })];
  t.deepEqual(blamedSets(crashes), ['dd']);
});

// Guards against a cause that goes free since another part was beside it in its own requests and in others.
test('a part that was at most of the crashes is not excused by one that was at some', (t) => {
  const crashes = [
    crash(1, { one: 'dd d4' }),
    crash(2, { sound1: 'd4', two: 'dd' }),
    crash(3, { three: 'dd d4' }),
    crash(4, { sound2: 'd4', four: 'dd' }),
    crash(5, { five: 'dd' }),
  ];
  t.deepEqual(blamedSets(crashes), ['dd']);
});

// Guards against two causes of which each excuses the other.
test('two parts that end upstreams are both blamed', (t) => {
  const other = [1, 2, 3].map((index) => crash(10 + index, { [`o${index}`]: 'a ee' }));
  t.deepEqual(blamedSets([...threeCrashes, ...other], knowledge({ a: 20 })), ['dd', 'ee']);
});

test('one request that is repeated blames its content, and no part', (t) => {
  const crashes = [1, 2, 3].map((atS) => crash(atS, { same: 'a dd' }));
  t.deepEqual(blamedSets(crashes), ['same']);
});

// Guards against blame of what all requests of a service share, when its upstreams crash by themselves.
test('a part without which no request is answered is not blamed', (t) => {
  t.deepEqual(blamedSets(threeCrashes, knowledge({}, false)), []);
});

// Guards against blame of what many requests share, in the moment after many upstreams have gone down.
test('a part that was answered shortly before needs more crashes over some time', (t) => {
  const shared = Array.from({ length: 6 }, (_, index) =>
    crash(10 + index / 10, { [`r${index}`]: 'a' }),
  );
  t.deepEqual(blamedSets(shared, knowledge({ a: 9 })), []);
  t.deepEqual(blamedSets([...shared, crash(13, { late: 'a' })], knowledge({ a: 9 })), ['a']);
  t.deepEqual(blamedSets([...shared, crash(13, { late: 'a' })], knowledge({ a: 12 })), []);
});

// Guards against blame for a failure domain that goes down under requests of a kind.
test('upstreams that go down together count as one crash for a part', (t) => {
  const together = [10, 10.01, 10.02, 10.04].map((atS) => crash(atS, { [`r${atS}`]: 'a' }));
  t.deepEqual(blamedSets(together), []);
  t.is(attributeCrashes(together, knowledge()).suspects.get(feature('a')), undefined);
});

test('a part of two crashes is a suspect until a request with it is answered', (t) => {
  const crashes = threeCrashes.slice(0, 2);
  t.is(attributeCrashes(crashes, knowledge()).suspects.get(feature('dd')), 2);
  t.is(attributeCrashes(crashes, knowledge({ dd: 4 })).suspects.get(feature('dd')), undefined);
});

// Guards against blame at an instance that does not know of the answers at others.
test('a part is blamed only for crashes about which all instances were asked', (t) => {
  const asked = (upToS: number, soundS = {}) => {
    return { ...knowledge(soundS), answeredUpToMs: () => 1_000 * upToS };
  };
  t.deepEqual(blamedSets(threeCrashes, asked(1)), []);
  t.deepEqual(blamedSets(threeCrashes, asked(2)), ['a dd']);
  const shared = [10, 11, 12, 13, 14].map((atS) => crash(atS, { [`r${atS}`]: 'a' }));
  t.deepEqual(blamedSets(shared, asked(13, { a: 9 })), []);
  t.deepEqual(attributeCrashes(shared, asked(13, { a: 9 })).questions, ['a'] as FeatureId[]);
  t.deepEqual(blamedSets(shared, asked(14, { a: 9 })), ['a']);
});

// Guards against requests that stay refused for what another one beside them has done.
test('a request beside the cause of its crashes is not blamed', (t) => {
  const crashes = threeCrashes.map((one) => ({
    ...one,
    requests: [...one.requests, { content: feature('beside'), parts: [feature('a')] }],
  }));
  const { blames, suspects } = attributeCrashes(crashes, knowledge({ a: 4 }));
  t.deepEqual(blames, [{ features: [feature('dd')], crashCount: 3 }]);
  t.is(suspects.get(feature('beside')), 2);
});

// Guards against blame of a request that many callers send, before the part beside it at each crash is blamed.
test('a request beside a suspect part is not blamed', (t) => {
  const crashes = threeCrashes.slice(0, 2).concat(crash(2.02, { four: 'dd' }));
  const beside = crashes.map((one) => ({
    ...one,
    requests: [...one.requests, { content: feature('hot'), parts: [feature('a')] }],
  }));
  const { blames, suspects } = attributeCrashes(beside, knowledge({ a: 4 }));
  t.deepEqual(blames, []);
  t.is(suspects.get(feature('hot')), 2);
});

// Guards against requests that many callers send and that are at upstreams which crash one after another.
test('a request that was answered in the last minute is under no suspicion', (t) => {
  const crashes = [10, 20, 30].map((atS) => crash(atS, { hot: '' }));
  t.deepEqual(blamedSets(crashes, knowledge({ hot: 9 })), []);
  t.deepEqual(blamedSets(crashes, knowledge({ hot: -60 })), ['hot']);
});
