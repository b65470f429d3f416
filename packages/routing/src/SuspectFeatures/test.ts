import test from 'ava';
import { ManualClock, type FeatureId, type ServiceName, type UpstreamId } from '@acaciacrank/base';
import { SuspectFeatures, type SuspectRequest } from './index.js';

const service = 'app' as ServiceName;
const candidates = ['u4', 'u5'] as UpstreamId[];

function request(content: string, ...parts: string[]): SuspectRequest {
  return { service, content: content as FeatureId, parts: parts as FeatureId[] };
}

const guilty = request('guilty');
const innocent = request('innocent');

class Scene {
  readonly clock = new ManualClock();
  readonly suspects = new SuspectFeatures(this.clock);

  /** Records a crash; the request was sent to the upstream 50 ms before, if not stated otherwise. */
  crash(one: SuspectRequest, upstream: string, atMs: number, sentMs = atMs - 50): void {
    this.suspects.recordCrash({
      service,
      upstreamId: upstream as UpstreamId,
      atMs,
      requests: [{ content: one.content, parts: one.parts, sentMs }],
    });
  }

  attempt(name: string, one = guilty): string {
    this.suspects.deriveBlame(service);
    return this.suspects.requestAttempt({ ...one, attempt: name, candidates }).verdict;
  }

  /** All instances are queried about the crashes so far, and reply. */
  async confirm(): Promise<void> {
    await this.clock.advance(10_000);
    this.suspects.recordAsked(service);
    await this.clock.advance(100);
  }

  count(one: SuspectRequest): number {
    return this.suspects.crashCountOf(service, [one.content, ...one.parts]);
  }
}

test('a request under which nothing crashed is clear', (t) => {
  const scene = new Scene();
  t.is(scene.attempt('one/1'), 'clear');
  t.true(scene.suspects.isEmpty);
});

// Guards against a request that ends upstreams by being sent to several at once.
test('attempts under way count as crashes to come', async (t) => {
  const scene = new Scene();
  scene.crash(guilty, 'u1', 0);
  t.is(scene.attempt('one/1'), 'granted');
  t.is(scene.attempt('two/1'), 'granted');
  t.is(scene.attempt('three/1'), 'busy');
  scene.crash(guilty, 'u2', 5_000);
  scene.suspects.finishAttempt('one/1', false);
  t.is(scene.attempt('three/1'), 'busy');
  scene.crash(guilty, 'u3', 6_000);
  scene.suspects.finishAttempt('two/1', false);
  t.is(scene.attempt('three/1'), 'busy');
  await scene.confirm();
  t.is(scene.attempt('three/1'), 'quarantined');
});

// Guards against counting one crash as often as instances report it, and against missing that of the next run.
test('reports about one crash count once, and those about a later run again', (t) => {
  const scene = new Scene();
  scene.crash(guilty, 'u1', 100);
  scene.crash(guilty, 'u1', 130);
  t.is(scene.count(guilty), 1);
  scene.crash(guilty, 'u1', 2_000);
  t.is(scene.count(guilty), 2);
});

// Guards against missing the crash of an upstream that starts again at once, and crashes again.
test('a crash under a request that was sent after the last crash is another one', (t) => {
  const scene = new Scene();
  scene.crash(guilty, 'u4', 10);
  scene.crash(guilty, 'u4', 90, 60);
  t.is(scene.count(guilty), 2);
});

// Guards against refusing a request that many callers send, since it was at upstreams that crashed for other reasons.
test('an answer clears the request that was granted, for a minute', (t) => {
  const scene = new Scene();
  scene.crash(innocent, 'u1', 0);
  scene.crash(innocent, 'u2', 3_000);
  t.is(scene.attempt('one/1', innocent), 'granted');
  scene.suspects.finishAttempt('one/1', true);
  scene.crash(innocent, 'u3', 3_020);
  t.is(scene.attempt('one/2', innocent), 'clear');
});

// Guards against taking what ran beside a deadly request along to the next upstream that it ends.
test('after two crashes a suspect runs apart from other suspects', (t) => {
  const scene = new Scene();
  for (const [index, id] of ['u1', 'u2'].entries()) {
    scene.crash(guilty, id, 1_000 * index);
    scene.crash(innocent, id, 1_000 * index);
  }
  const send = (name: string, one: SuspectRequest) =>
    scene.suspects.requestAttempt({ ...one, attempt: name, candidates });
  const granted = { verdict: 'granted', isIsolated: true } as const;
  t.deepEqual(send('one/1', guilty), { ...granted, upstreamId: 'u4' as UpstreamId });
  t.deepEqual(send('two/1', innocent), { ...granted, upstreamId: 'u5' as UpstreamId });
  const third = request('third');
  scene.crash(third, 'u1', 0);
  t.is(scene.attempt('three/1', third), 'busy');
});

// Guards against requests that stay in quarantine for what another one has done.
test('a request that ends an upstream apart lets those that ran beside it be tried once more', async (t) => {
  const scene = new Scene();
  for (const [index, id] of ['u1', 'u2'].entries()) {
    scene.crash(innocent, id, 1_000 * index);
    scene.crash(guilty, id, 1_000 * index);
  }
  t.is(scene.attempt('one/1'), 'granted');
  scene.crash(innocent, 'u4', 5_000);
  await scene.confirm();
  t.is(scene.attempt('two/1', innocent), 'quarantined');
  scene.crash(guilty, 'u4', 5_010);
  await scene.confirm();
  t.is(scene.attempt('one/2'), 'quarantined');
  scene.suspects.finishAttempt('one/1', false);
  t.is(scene.attempt('two/2', innocent), 'granted');
  scene.suspects.finishAttempt('two/2', true);
  t.is(scene.count(innocent), 0);
});

// Guards against a guilty request that goes free since another one was convicted for a crash of its upstream.
test('a wrong conviction clears no other request', async (t) => {
  const scene = new Scene();
  for (const [index, id] of ['u1', 'u2'].entries()) {
    scene.crash(innocent, id, 1_000 * index);
    scene.crash(guilty, id, 1_000 * index);
  }
  t.is(scene.attempt('two/1', innocent), 'granted');
  scene.crash(innocent, 'u4', 3_000);
  t.is(scene.count(guilty), 2);
  scene.suspects.finishAttempt('two/1', false);
  t.is(scene.attempt('one/1'), 'granted');
  scene.crash(guilty, 'u4', 5_000);
  await scene.confirm();
  t.is(scene.attempt('one/2'), 'quarantined');
});

// Guards against a suspect that nobody may send any more, since the instance that was sending it has died.
test('an attempt without a result counts for a bounded time', async (t) => {
  const scene = new Scene();
  scene.crash(guilty, 'u1', 0);
  scene.crash(guilty, 'u2', 1_000);
  t.is(scene.attempt('one/1'), 'granted');
  await scene.clock.advance(19_000);
  t.is(scene.attempt('two/1'), 'busy');
  await scene.clock.advance(1_000);
  t.is(scene.attempt('two/1'), 'granted');
});

// Guards against requests with a suspect part that end an upstream each, since they are sent at the same time.
test('requests with a suspect part are sent one at a time', (t) => {
  const scene = new Scene();
  for (const index of [1, 2])
    scene.crash(request(`r${index}`, 'a', 'dd'), `u${index}`, 1_000 * index);
  t.is(scene.attempt('one/1', request('r3', 'b', 'dd')), 'granted');
  t.is(scene.attempt('two/1', request('r4', 'c', 'dd')), 'busy');
  t.is(scene.attempt('two/2', request('r5', 'c')), 'clear');
  scene.suspects.finishAttempt('one/1', true);
  t.is(scene.attempt('two/3', request('r4', 'c', 'dd')), 'clear');
});

// Guards against a second attempt with a part that was not suspect yet when the first one was granted.
test('an attempt under way holds others back by all parts of its request', (t) => {
  const scene = new Scene();
  scene.crash(request('r1', 'a', 'dd'), 'u1', 1_000);
  t.is(scene.attempt('one/1', request('r1', 'a', 'dd')), 'granted');
  scene.crash(request('r2', 'b', 'dd'), 'u2', 2_000);
  t.is(scene.attempt('two/1', request('r3', 'c', 'dd')), 'busy');
});

// Guards against blame of a sound part that stays, since requests with it are refused and cannot clear it.
test('blame of a part ends when another one explains its crashes', async (t) => {
  const scene = new Scene();
  const parts = ['d4', 'dd'] as FeatureId[];
  const record = (index: number) => {
    scene.crash(request(`sound${index}`, 'd4'), `u${index}`, 1_000 * index);
    scene.crash(request(`r${index}`, 'dd'), `u${index}`, 1_000 * index);
  };
  for (const index of [1, 2, 3]) record(index);
  scene.suspects.recordOthers(service, parts);
  await scene.confirm();
  t.is(scene.attempt('one/1', request('sound', 'd4')), 'quarantined');
  for (const index of [11, 12]) scene.crash(request(`r${index}`, 'dd'), `u${index}`, 1_000 * index);
  t.deepEqual(scene.suspects.deriveBlame(service).lifted, [['d4']]);
  t.is(scene.attempt('one/2', request('guilty', 'dd')), 'quarantined');
  t.not(scene.attempt('one/3', request('sound', 'd4')), 'quarantined');
});

// Guards against an instance that knows of fewer crashes, as one that has just started, and lifts what a peer blames.
test('what only a peer has found is not lifted for the crashes that are known here', async (t) => {
  const scene = new Scene();
  scene.suspects.blamed.addTold({ service, features: [guilty.content], crashCount: 3, sinceMs: 0 });
  scene.crash(guilty, 'u1', 1_000);
  await scene.confirm();
  t.deepEqual(scene.suspects.deriveBlame(service).lifted, []);
  t.is(scene.attempt('one/1'), 'quarantined');
});

// Guards against blame that other instances keep, although a request with all of it was answered.
test('an answer to an attempt reports what it lifts', async (t) => {
  const scene = new Scene();
  scene.crash(request('r1', 'a', 'dd'), 'u1', 1_000);
  scene.crash(request('r2', 'b', 'dd'), 'u2', 2_000);
  t.is(scene.attempt('one/1', request('r3', 'c', 'dd')), 'granted');
  scene.crash(request('r4', 'a', 'dd'), 'u3', 3_000);
  scene.suspects.recordOthers(service, ['dd'] as FeatureId[]);
  await scene.confirm();
  t.is(scene.attempt('two/1', request('r5', 'dd')), 'quarantined');
  t.deepEqual(scene.suspects.finishAttempt('one/1', true), { service, lifted: [['dd']] });
});

// Guards against a home that has not granted the attempt under which an upstream crashed.
test('what ended an upstream apart is known to those who get the reports', async (t) => {
  const scene = new Scene();
  scene.crash(innocent, 'u1', 1_000);
  scene.crash(guilty, 'u1', 1_000);
  scene.crash(guilty, 'u2', 2_000);
  scene.crash(innocent, 'u2', 2_000);
  scene.suspects.recordCrash({
    service,
    upstreamId: 'u3' as UpstreamId,
    atMs: 3_000,
    requests: [{ ...guilty, sentMs: 2_950, isIsolated: true }],
  });
  const other = new Scene();
  for (const report of scene.suspects.reportsOf(service)) other.suspects.recordCrash(report);
  for (const one of [scene, other]) {
    await one.confirm();
    t.is(one.attempt('one/1'), 'quarantined');
    t.is(one.count(innocent), 2);
    t.is(one.suspects.crashCount(service), 3);
  }
});

// Guards against a part that ends upstreams in one request after the other.
test('a request with a blamed part is quarantined, whatever else it holds', async (t) => {
  const scene = new Scene();
  for (const index of [1, 2, 3])
    scene.crash(request(`r${index}`, 'a', 'dd'), `u${index}`, 1_000 * index);
  scene.suspects.recordOthers(service, ['a', 'dd'] as FeatureId[]);
  await scene.clock.advance(4_000);
  scene.suspects.recordAsked(service);
  await scene.clock.advance(100);
  scene.suspects.recordSound(service, ['a'] as FeatureId[], 3_500);
  t.is(scene.attempt('one/1', request('new', 'x', 'dd', 'y')), 'quarantined');
  t.is(scene.attempt('one/2', request('sound', 'a', 'y')), 'clear');
});

// Guards against memory that grows with upstreams that crash, and against forgetting what is in quarantine first.
test('the oldest crashes are forgotten, and blame is not', async (t) => {
  const scene = new Scene();
  for (const index of [1, 2, 3]) scene.crash(guilty, `u${index}`, index * 1_000);
  await scene.confirm();
  t.is(scene.attempt('one/1'), 'quarantined');
  for (let index = 0; index < 70; index += 1)
    scene.crash(request(`other${index}`), 'u4', 10_000 + 1_000 * index);
  t.is(scene.count(request('other0')), 0);
  t.is(scene.count(request('other69')), 1);
  t.is(scene.attempt('one/2'), 'quarantined');
  await scene.clock.advance(800_000);
  t.is(scene.suspects.counts.suspected, 0);
  t.is(scene.attempt('one/3'), 'quarantined');
});

// Guards against an operator's command that lasts until the same crashes are looked at again.
test('what an operator lifts is not blamed for the crashes that led to it', async (t) => {
  const scene = new Scene();
  for (const index of [1, 2, 3]) scene.crash(guilty, `u${index}`, index * 1_000);
  await scene.confirm();
  t.is(scene.attempt('one/1'), 'quarantined');
  t.is(scene.suspects.lift(guilty.content).length, 1);
  t.is(scene.attempt('one/2'), 'clear');
});
