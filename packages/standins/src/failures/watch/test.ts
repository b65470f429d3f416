import test from 'ava';
import { ManualClock } from '@acaciacrank/base';
import { acceptDocument, ConfigurationWatcher } from '@acaciacrank/operators';
import type { StoreChanges } from '@acaciacrank/store';
import { storyDocument } from '../../faults/document.js';
import { MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

/** Answers every watch at once, with nothing. */
class HastyWatchStore extends MemoryObjectStore {
  watches = 0;

  override watch(): Promise<StoreChanges> {
    this.watches += 1;
    // Without a bound this would never return, and the test would not end.
    if (this.watches > 1_000) return new Promise<never>(() => undefined);
    return Promise.resolve({ changes: [], revision: 0 });
  }
}

// The platform begins to answer watches at once and without news, as an overloaded one may. An
// instance asked again without end and did nothing else. It asks once a second, and the poll still
// brings a change into force.
test('a store that answers watches at once is not asked without end', async (t) => {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const operator = new MemoryObjectStore(platform, clock);
  await clock.runUntil(acceptDocument(operator, clock, storyDocument('first')));
  const store = new HastyWatchStore(platform, clock);
  const watcher = new ConfigurationWatcher({ store, clock, environment: 'faults' });
  await clock.runUntil(watcher.start());
  await clock.advance(10_000);
  t.true(store.watches <= 20, `${store.watches} watches in ten seconds`);
  await clock.runUntil(acceptDocument(operator, clock, storyDocument('second')));
  await clock.advance(10_000);
  t.is(watcher.inForce.value?.version, 2);
  await clock.runUntil(watcher[Symbol.asyncDispose]());
});
