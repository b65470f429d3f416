/**
 * Entries that another writer has left among those of the upstreams.
 */
import test, { type ExecutionContext } from 'ava';
import { setTimeout as sleep } from 'node:timers/promises';
import { DepartingCallers, isWhole } from '../../_lib/DepartingCallers/index.js';
import { ProcessFixture } from '../../_lib/ProcessFixture/index.js';

/** From this number of instances on some of them watch the store for the others. */
const instanceCount = 6;
const callsPerInstance = 5;
/** Time within which all instances know a new entry, in milliseconds. */
const spreadMs = 2_500;

const usual = { service: 'app', zone: 'here', slots: 64, state: 'ready', version: 'v1' };
const somewhere = { ...usual, address: '127.0.0.1:9' };

/** Entries as texts, since not all of them can be written with `JSON.stringify`; a megabyte in all, as in one page of the store. */
const oddEntries: readonly string[] = [
  ...[1_200, 20_000, 60_000].map((depth) => '['.repeat(depth) + ']'.repeat(depth)),
  ...[1_200, 20_000].map((depth) => '{"a":'.repeat(depth) + '1' + '}'.repeat(depth)),
  ...['1e400', '-1e400', '1e308', '9'.repeat(30), '-5', '0', '0.5', 'null', '"64"', 'true'].map(
    (slots) => JSON.stringify({ ...somewhere, slots: '@' }).replace('"@"', slots),
  ),
  ...['1e400', '9'.repeat(30), '"now"', '1.5'].map((born) =>
    JSON.stringify({ ...somewhere, born: '@' }).replace('"@"', born),
  ),
  ...[
    '127.0.0.1:70000',
    '127.0.0.1:-1',
    '127.0.0.1:0',
    '127.0.0.1',
    '127.0.0.1:',
    '999.0.0.1:80',
    '127.0.0.1:99999999999999999999',
    '1.2.3:80',
    'http://127.0.0.1:80',
    '',
  ].map((address) => JSON.stringify({ ...usual, address })),
  ...['state', 'service', 'zone', 'version'].map((field) =>
    JSON.stringify({ ...somewhere, [field]: 'x'.repeat(100_000) }),
  ),
  JSON.stringify({ ...somewhere, version: '\ud800' }),
  ...['null', '"text"', '7', '{}', '[]', 'true'],
];

/** Entries of which many fit into one response of the store, which is a megabyte at most. */
const smallOddEntries = oddEntries.filter(({ length }) => length < 1_000);
const copiesOfMany = 40;

function addOddEntries(
  { platform, store }: ProcessFixture,
  phase: string,
  { entries = oddEntries, copies = 1 } = {},
): void {
  for (const [index, text] of entries.entries()) {
    const known = `@${phase}-${index}`;
    store.rawTexts.set(known, text);
    for (let copy = 0; copy < copies; copy += 1)
      platform.write(`servers/odd-${phase}-${index}-${copy}`, known, { kind: 'none' });
  }
}

/** Checks that each instance serves its callers, payments too, at an upstream that was added last. */
async function checkAllServe(
  t: ExecutionContext,
  fixture: ProcessFixture,
  callers: DepartingCallers,
  phase: string,
): Promise<void> {
  const before = callers.arrivalCount;
  for (const { ports } of fixture.instances) {
    // Streams need tokens besides, which an instance that has just started may not have yet.
    for (const path of ['/read/', '/pay/']) {
      const call = { port: ports.front, path, waitMs: 2_900 };
      const answers = await callers.callMany(callsPerInstance, call);
      for (const text of answers) t.true(isWhole(text), `${phase}, ${path}: ${text.slice(0, 300)}`);
    }
  }
  t.true(callers.arrivalCount - before >= 2 * callsPerInstance * instanceCount, phase);
  t.is(fixture.exitCount, 0, phase);
}

function removeUpstream({ platform }: ProcessFixture, index: number): void {
  const stored = platform.read(`servers/u${index}`);
  if (stored !== undefined) platform.remove(`servers/u${index}`, stored.version);
}

// Guards against one entry that ends instance after instance, or keeps them from following the others.
test.serial(
  'odd entries among the upstreams end no instance, and hide no other entry',
  async (t) => {
    const fixture = new ProcessFixture();
    await using _fixture = fixture;
    const callers = new DepartingCallers();
    addOddEntries(fixture, 'early');
    await fixture.addUpstream('app', callers.script);
    await fixture.start(instanceCount);
    await sleep(spreadMs);
    await checkAllServe(t, fixture, callers, 'at the start');

    const later = new DepartingCallers();
    addOddEntries(fixture, 'late');
    await fixture.addUpstream('app', later.script);
    removeUpstream(fixture, 1);
    await sleep(spreadMs);
    await checkAllServe(t, fixture, later, 'in one batch with a valid one');

    const last = new DepartingCallers();
    addOddEntries(fixture, 'many', { entries: smallOddEntries, copies: copiesOfMany });
    await fixture.addUpstream('app', last.script);
    removeUpstream(fixture, 2);
    await sleep(spreadMs);
    await checkAllServe(t, fixture, last, 'a thousand of them');
  },
);

// Guards against requests at an upstream whose next entry cannot be read, and against one that stays away after that.
test.serial(
  'an upstream whose entry turns odd gets no requests until it is valid again',
  async (t) => {
    const fixture = new ProcessFixture();
    await using _fixture = fixture;
    const first = new DepartingCallers();
    const second = new DepartingCallers();
    await fixture.addUpstream('app', first.script);
    await fixture.start(1);
    await sleep(500);
    const port = fixture.instances[0]?.ports.front ?? 0;
    const valid = fixture.platform.read('servers/u1')?.value;
    fixture.platform.write(
      'servers/u1',
      { ...usual, address: '127.0.0.1:70000' },
      { kind: 'none' },
    );
    await fixture.addUpstream('app', second.script);
    await sleep(spreadMs);
    for (const text of await second.callMany(callsPerInstance, {
      port,
      path: '/pay/',
      waitMs: 2_900,
    }))
      t.true(isWhole(text), text.slice(0, 300));
    t.deepEqual([first.arrivalCount, second.arrivalCount], [0, callsPerInstance]);
    fixture.platform.write('servers/u1', valid, { kind: 'none' });
    removeUpstream(fixture, 2);
    await sleep(spreadMs);
    for (const text of await first.callMany(callsPerInstance, {
      port,
      path: '/pay/',
      waitMs: 2_900,
    }))
      t.true(isWhole(text), text.slice(0, 300));
    t.is(first.arrivalCount, callsPerInstance);
  },
);
