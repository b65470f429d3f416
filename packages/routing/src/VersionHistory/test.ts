import test from 'ava';
import { ManualClock, type ServiceName } from '@acaciacrank/base';
import { VersionHistory } from './index.js';

const service = 'lm' as ServiceName;

function create() {
  const clock = new ManualClock();
  const history = new VersionHistory(clock);
  history.recordComplete();
  return { clock, history };
}

test('a service whose upstreams all state one version has had one', async (t) => {
  const { clock, history } = create();
  await clock.advance(20_000);
  t.is(history.soleVersion(service, ['v1', 'v1'], 20_000), 'v1');
  t.is(history.soleVersion(service, ['v1', 'v2'], 20_000), undefined);
  t.is(history.soleVersion(service, [undefined], 20_000), undefined);
});

// Guards against a stream that continues at the version that has replaced the one that began it.
test('a version that is gone counts for the whole time', async (t) => {
  const { clock, history } = create();
  await clock.advance(20_000);
  history.recordGone(service, 'v1');
  await clock.advance(19_999);
  t.is(history.soleVersion(service, ['v2'], 20_000), undefined);
  await clock.advance(2);
  t.is(history.soleVersion(service, ['v2'], 20_000), 'v2');
});

// Guards against a version that came and went while this instance had just started, or could not follow the store.
test('a start or an interruption proves nothing for the whole time', async (t) => {
  const { clock, history } = create();
  await clock.advance(19_999);
  t.is(history.soleVersion(service, ['v1'], 20_000), undefined);
  await clock.advance(1);
  t.is(history.soleVersion(service, ['v1'], 20_000), 'v1');
  history.recordIncomplete();
  t.is(history.soleVersion(service, ['v1'], 20_000), undefined);
  history.recordComplete();
  await clock.advance(20_000);
  t.is(history.soleVersion(service, ['v1'], 20_000), 'v1');
});
