import test from 'ava';
import { DryBelief } from './index.js';

test('what is known to be dry is believed for a second, for requests that need more than is left', (t) => {
  const belief = new DryBelief<'exhausted'>();
  t.is(belief.outcomeFor(100, 0), undefined);
  t.is(belief.note('exhausted', 50, 1_000), 'exhausted');
  t.is(belief.outcomeFor(51, 1_999), 'exhausted');
  t.is(belief.outcomeFor(50, 1_999), undefined);
  t.true(belief.isHeld(1_999));
  t.is(belief.outcomeFor(51, 2_000), undefined);
  t.false(belief.isHeld(2_000));
});

test('it is forgotten when there may be more again', (t) => {
  const belief = new DryBelief<'exhausted'>();
  belief.note('exhausted', 0, 0);
  belief.clear();
  t.is(belief.outcomeFor(1, 1), undefined);
});
