import test from 'ava';
import type { InstanceStatus } from '../describeInstance/index.js';
import { formatStatusPage } from './index.js';

const status: InstanceStatus = {
  instanceId: 'entry-1',
  isAccepting: true,
  stopPhase: 'running',
  openRequests: 3,
  openWork: 3,
  configuration: { version: 7, digest: 'abcdef0123456789', sinceMs: 1_000 },
  configurationProblem: null,
  blames: [],
  members: [],
  upstreams: [],
};
const member = {
  id: 'entry-2',
  state: 'dead' as const,
  failureDomain: 'auckland',
  sinceMs: 4_000,
  isListed: true,
  configurationVersion: null,
};

test('shows the configuration in force and its age', (t) => {
  const page = formatStatusPage(status, { nowMs: 61_000 });
  t.regex(page, /version 7 \(digest abcdef012345\) is in force here since 60 s ago/);
  t.regex(page, /Takes new requests. 3 requests are under way/);
});

test('shows unknown values as unknown', (t) => {
  const page = formatStatusPage({ ...status, members: [member] }, { nowMs: 5_000 });
  t.regex(page, /1 cannot be reached: whether they run, and with which configuration, is unknown/);
  t.regex(page, /<td>dead<\/td>.*<td>unknown<\/td>/);
});

test('an instance without a configuration is not shown as ready', (t) => {
  const empty = { ...status, isAccepting: false, configuration: null };
  const page = formatStatusPage(empty, { nowMs: 0 });
  t.regex(page, /none is in force here/);
  t.regex(page, /Takes no requests: it has no configuration yet/);
});

// Guards against HTML in a configuration or an instance id that runs as a script in the browser of an
// operator, which has the operators' key.
test('values are escaped', (t) => {
  const maliciousMember = { ...member, id: '<script>alert("1")</script>' };
  const problem = { version: 8, message: `<img src='x'>`, sinceMs: 0 };
  const members = [maliciousMember];
  const page = formatStatusPage(
    { ...status, members, configurationProblem: problem },
    { nowMs: 0 },
  );
  t.notRegex(page, /<script|<img/);
  t.regex(page, /&lt;script&gt;/);
});
