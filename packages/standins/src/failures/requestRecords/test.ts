import test from 'ava';
import { ManualClock, type InstanceId, type RequestId, type RequestKey } from '@acaciacrank/base';
import { RequestRecords } from '@acaciacrank/ledger';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

const key = 'k' as RequestKey;
const id = (name: string) => name as RequestId;

function setUp() {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const instance = (name: string) => {
    const store = new MemoryObjectStore(platform, clock);
    return { store, records: new RequestRecords({ store, clock, instanceId: name as InstanceId }) };
  };
  return { clock, platform, first: instance('i1'), second: instance('i2') };
}

// Guards against "outcome unknown" for a call that was never dispatched. The intent of a call is written,
// but the response is lost and the store becomes unavailable. The caller retries at the same instance.
test('an intent that was never dispatched is reused by a retry at the same instance', async (t) => {
  const { clock, first } = setUp();
  first.store.link.responsesToLose = 1;
  t.is((await clock.runUntil(first.records.begin(key, id('r1'), 'd'))).kind, 'begun');

  const other = 'k2' as RequestKey;
  first.store.link.responsesToLose = 1;
  const read = first.store.read.bind(first.store);
  first.store.read = async (name) => {
    first.store.read = read;
    first.store.link.isDown = true;
    return read(name);
  };
  const error = await t.throwsAsync(clock.runUntil(first.records.begin(other, id('r2'), 'd')));
  t.like(error, { kind: 'storeUnavailable', ran: 'notRun' });
  first.store.link.isDown = false;
  t.is((await clock.runUntil(first.records.begin(other, id('r3'), 'd'))).kind, 'begun');
});

// As above, but the caller retries at another instance: the first one withdraws its intent as soon as
// the store responds, so that the other one may run the call.
test('an intent that was never dispatched is withdrawn for retries at other instances', async (t) => {
  const { clock, first, second } = setUp();
  const abort = new AbortController();
  abort.abort();
  const options = { signal: abort.signal };
  const begun = clock.runUntil(first.records.begin(key, id('r1'), 'd', options));
  t.like(await t.throwsAsync(begun), { kind: 'deadlineExceeded', ran: 'notRun' });
  await clock.advance(10);
  t.like(await clock.runUntil(second.records.find(key)), { state: 'notRun' });
  t.is((await clock.runUntil(second.records.begin(key, id('r2'), 'd'))).kind, 'begun');
  const again = await clock.runUntil(first.records.begin(key, id('r3'), 'd'));
  t.like(again, { kind: 'earlier', record: { requestId: 'r2', state: 'intent' } });
});

// Guards against a call that runs twice: two retries with the same key arrive at two instances at once.
// A third request uses the key for another body.
test('only one of two instances begins a call, and another body is refused', async (t) => {
  const { clock, first, second } = setUp();
  const both = [first.records.begin(key, id('r1'), 'd'), second.records.begin(key, id('r2'), 'd')];
  const results = await clock.runUntil(Promise.all(both));
  t.deepEqual(results.map(({ kind }) => kind).sort(), ['begun', 'earlier']);
  const reused = clock.runUntil(second.records.begin(key, id('r3'), 'other'));
  t.like(await t.throwsAsync(reused), { kind: 'keyReused' });
});

test('a record that cannot be parsed is an error and is not overwritten', async (t) => {
  const { clock, platform, first } = setUp();
  await clock.runUntil(first.records.begin(key, id('r1'), 'd'));
  const [stored] = platform.objects();
  const name = stored?.key ?? '';
  platform.write(name, { format: 2 }, { kind: 'none' });
  const begun = clock.runUntil(first.records.begin(key, id('r2'), 'd'));
  t.like(await t.throwsAsync(begun), { kind: 'internal', ran: 'unknown' });
  t.deepEqual(platform.objects()[0]?.value, { format: 2 });
});
