import test from 'ava';
import type { ServiceName, UpstreamId } from '@acaciacrank/base';
import { mayContinueStream, type UpstreamRun } from './index.js';

const origin: UpstreamRun = {
  service: 'lm' as ServiceName,
  upstreamId: 'u1' as UpstreamId,
  startedAtMs: 1_000,
  softwareVersion: 'v1',
};
const other = { ...origin, upstreamId: 'u2' as UpstreamId, startedAtMs: 2_000 };

test('a stream goes on at any upstream of the service with the same version', (t) => {
  t.true(mayContinueStream(origin, other));
  t.true(mayContinueStream(origin, origin));
  t.false(mayContinueStream(origin, { ...other, service: 'tags' as ServiceName }));
});

// Guards against a stream that an upstream takes up which has started again under its id, with other software.
test('an id or an address proves no version', (t) => {
  t.false(mayContinueStream(origin, { ...origin, startedAtMs: 2_000, softwareVersion: 'v2' }));
});

// Guards against taking two unknown versions for the same one.
test('where no version is known, only the same run goes on', (t) => {
  const unknown = { ...origin, softwareVersion: undefined };
  t.true(mayContinueStream(unknown, unknown));
  t.false(mayContinueStream(unknown, origin));
  t.false(mayContinueStream(origin, unknown));
  t.false(mayContinueStream(unknown, { ...unknown, startedAtMs: 2_000 }));
  t.false(mayContinueStream(unknown, { ...unknown, upstreamId: 'u2' as UpstreamId }));
  const unstated = { ...unknown, startedAtMs: undefined };
  t.false(mayContinueStream(unstated, unstated));
});
