import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { acceptDocument, ConfigurationWatcher } from '@acaciacrank/operators';
import type { StoreChanges } from '@acaciacrank/store';
import { storyDocument } from '../../faults/document.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

/** Returns from every watch immediately, without changes. */
class ImmediateWatchStore extends MemoryObjectStore {
  watchCalls = 0;

  override watch(): Promise<StoreChanges> {
    this.watchCalls += 1;
    // Without this limit, a watcher that loops would keep the test from ending.
    if (this.watchCalls > 1_000) return new Promise<never>(() => undefined);
    return Promise.resolve({ changes: [], revision: 0 });
  }
}

// Guards against a busy loop. A platform may return from watches immediately and without changes, as
// when it is overloaded; an instance then watched again without pause and did nothing else. It must
// watch once a second, and its poll must still bring changes into force.
test('a store that returns from watches immediately is not watched in a busy loop', async (t) => {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const operator = new MemoryObjectStore(platform, clock);
  await clock.runUntil(acceptDocument(operator, clock, storyDocument('first')));
  const store = new ImmediateWatchStore(platform, clock);
  const watcher = new ConfigurationWatcher({ store, clock, environment: 'faults' });
  await clock.runUntil(watcher.start());
  await clock.advance(10_000);
  t.true(store.watchCalls <= 20, `${store.watchCalls} watches in 10 s`);
  await clock.runUntil(acceptDocument(operator, clock, storyDocument('second')));
  await clock.advance(10_000);
  t.is(watcher.inForce.value?.version, 2);
  await clock.runUntil(watcher[Symbol.asyncDispose]());
});
