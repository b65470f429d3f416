import test from 'ava';
import { decideHedge, isServiceSilent, type HedgeEvidence } from './index.js';

const evidence: HedgeEvidence = {
  isRepeatable: true,
  endCount: 0,
  sends: 1,
  maxSends: 2,
  hasCandidate: () => true,
  silence: () => ({ speaking: 3, silent: 1 }),
  probes: 0,
};

test('a request whose upstream is silent among others is hedged', (t) => {
  t.is(decideHedge(evidence), 'hedge');
  t.is(decideHedge({ ...evidence, silence: () => ({ speaking: 3, silent: 5 }) }), 'hedge');
});

// Guards against an idle fleet that never tries another upstream, since none of them had anything to say.
test('a single silent upstream is not taken for a silence of all', (t) => {
  t.is(decideHedge({ ...evidence, silence: () => ({ speaking: 0, silent: 1 }) }), 'hedge');
  t.false(isServiceSilent({ speaking: 0, silent: 1 }));
});

// Guards against a wave of second requests at the few upstreams that are left when most pause.
test('a few requests at a time are hedged while most upstreams are silent', (t) => {
  const most = () => ({ speaking: 1, silent: 12 });
  t.is(decideHedge({ ...evidence, silence: most, probes: 3 }), 'probe');
  t.is(decideHedge({ ...evidence, silence: most, probes: 4 }), 'serviceSilent');
  t.is(
    decideHedge({ ...evidence, silence: () => ({ speaking: 5, silent: 8 }), probes: 40 }),
    'hedge',
  );
});

test('one request at a time is hedged while all upstreams are silent', (t) => {
  const silence = () => ({ speaking: 0, silent: 12 });
  t.is(decideHedge({ ...evidence, silence }), 'probe');
  t.is(decideHedge({ ...evidence, silence, probes: 1 }), 'serviceSilent');
});

test('the kind, the route and the upstreams bound the sends', (t) => {
  t.is(decideHedge({ ...evidence, isRepeatable: false }), 'notRepeatable');
  t.is(decideHedge({ ...evidence, endCount: 2 }), 'suspect');
  t.is(decideHedge({ ...evidence, sends: 2 }), 'routeLimit');
  t.is(decideHedge({ ...evidence, hasCandidate: () => false }), 'noUpstream');
});
