import test from 'ava';
import { decideHedge, isServiceSilent, type HedgeEvidence } from './index.js';

const evidence: HedgeEvidence = {
  isRepeatable: true,
  sends: 1,
  maxSends: 2,
  hasCandidate: true,
  silence: { speaking: 3, silent: 1 },
  probes: 0,
};

test('a request whose upstream is silent among others is hedged', (t) => {
  t.is(decideHedge(evidence), 'hedge');
  t.is(decideHedge({ ...evidence, silence: { speaking: 3, silent: 5 } }), 'hedge');
});

// Guards against an idle fleet that never tries another upstream, since none of them had anything to say.
test('a single silent upstream is not taken for a silence of all', (t) => {
  t.is(decideHedge({ ...evidence, silence: { speaking: 0, silent: 1 } }), 'hedge');
  t.false(isServiceSilent({ speaking: 0, silent: 1 }));
});

// Guards against a wave of second requests when all upstreams pause.
test('one request at a time is hedged while all upstreams are silent', (t) => {
  const silence = { speaking: 0, silent: 12 };
  t.is(decideHedge({ ...evidence, silence }), 'probe');
  t.is(decideHedge({ ...evidence, silence, probes: 1 }), 'serviceSilent');
});

test('the kind, the route and the upstreams bound the sends', (t) => {
  t.is(decideHedge({ ...evidence, isRepeatable: false }), 'notRepeatable');
  t.is(decideHedge({ ...evidence, sends: 2 }), 'routeLimit');
  t.is(decideHedge({ ...evidence, hasCandidate: false }), 'noUpstream');
});
