import test from 'ava';
import { simulatePlacement } from './index.js';

// Guards against prompts that wait for a slot of an engine which other instances fill, while others have
// free slots: a third of the prompts share one part, or two of three failure domains are drained.
test('an engine whose slots other instances fill is left for another one', async (t) => {
  for (const cell of [
    { instances: 28, engines: 98, slots: 16, utilization: 0.2, hotShare: 0.3 },
    { instances: 28, engines: 33, slots: 16, utilization: 0.6, hotShare: 0.1 },
  ]) {
    const blind = await simulatePlacement(cell, 'none', 1);
    const informed = await simulatePlacement(cell, 'reports', 1);
    const detail = `${informed.lateShare} and ${blind.lateShare} late`;
    t.true(informed.lateShare < 0.6 * blind.lateShare, detail);
  }
});
