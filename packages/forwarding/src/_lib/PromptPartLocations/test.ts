import test from 'ava';
import type { UpstreamId } from '@acaciacrank/base';
import { PromptPartLocations } from './index.js';

const [first, second] = ['e1', 'e2'] as UpstreamId[] as [UpstreamId, UpstreamId];

test('a part is located at each engine that it was recently sent to', (t) => {
  const locations = new PromptPartLocations();
  locations.recordSent('part', first, 0);
  locations.recordSent('part', second, 15_000);
  t.deepEqual([...locations.enginesWith('part', 16_000)], [first, second]);
  t.deepEqual([...locations.enginesWith('part', 21_000)], [second]);
  t.deepEqual([...locations.enginesWith('part', 40_000)], []);
  t.deepEqual([...locations.enginesWith('other', 0)], []);
});

// Every request has a part that no other request uses. Without eviction they would fill the memory
// of an instance.
test('the least recently used parts are evicted', (t) => {
  const locations = new PromptPartLocations();
  locations.recordSent('oldest', first, 0);
  locations.recordSent('used again', first, 0);
  for (let part = 0; part < 4_094; part += 1) locations.recordSent(`part ${part}`, first, 1);
  locations.recordSent('used again', first, 2);
  locations.recordSent('one more', first, 3);
  t.is(locations.enginesWith('oldest', 3).size, 0);
  t.is(locations.enginesWith('used again', 3).size, 1);
});

// Guards against sending prompts to an engine because of parts that were cached before its restart.
test('a restarted engine has no parts', (t) => {
  const locations = new PromptPartLocations();
  locations.recordSent('part', first, 0);
  locations.recordSent('part', second, 0);
  locations.removeEngine(first);
  t.deepEqual([...locations.enginesWith('part', 1)], [second]);
});
