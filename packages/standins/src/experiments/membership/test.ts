import test from 'ava';
import { MemberFleet } from '../../_lib/MemberFleet/index.js';
import { runFailureScenario } from './index.js';

const instances = 12;

// Callers that the directory sends to a crashed instance get refused connections until all other
// instances have declared it dead. No other instance may be declared dead meanwhile.
test('all instances detect a crash within 10 s', async (t) => {
  const { settledMs, falseDeaths } = await runFailureScenario('crash', instances, 1);
  t.true(settledMs !== null && settledMs > 3_000 && settledMs < 10_000, `${settledMs}`);
  t.is(falseDeaths, 0);
});

test('all instances know of a planned stop within 1 s', async (t) => {
  const { settledMs, falseDeaths } = await runFailureScenario('plannedStop', instances, 1);
  t.true(settledMs !== null && settledMs < 1_000, `${settledMs}`);
  t.is(falseDeaths, 0);
});

// The link between two healthy instances is silent for a minute while others reach both. Declaring
// one of them dead would move accounts to other instances without need.
test('a silent link causes no false death: other instances confirm that the peer is live', async (t) => {
  t.like(await runFailureScenario('silentLink', instances, 1), { falseDeaths: 0, suspicions: 0 });
});

// The links of one instance drop 30% of the messages. It is suspected repeatedly and must learn of
// each suspicion and refute it.
test('an instance on a lossy link is suspected but not declared dead', async (t) => {
  const { falseDeaths, suspicions, refutations } = await runFailureScenario(
    'lossyInstance',
    instances,
    1,
  );
  t.is(falseDeaths, 0);
  t.true(suspicions > 0 && refutations > 0, `${suspicions} ${refutations}`);
});

// A process is paused for 2.5 s and is suspected meanwhile. After it resumes, its refutation must
// arrive before any instance declares it dead.
test('a suspected instance refutes a false suspicion', async (t) => {
  const result = await runFailureScenario('shortPause', instances, 1);
  t.true(result.suspicions > 0 && result.refutations > 0);
  t.is(result.falseDeaths, 0);
  t.true(result.settledMs !== null && result.settledMs < 3_000, `${result.settledMs}`);
});

// An instance restarts within a second under the same id. Grants of the previous process run must
// not be attributed to the new one, so all instances must see the new `life`. None may declare the
// new run dead because the previous one is silent.
test('a restart is distinguished from the previous run and not declared dead', async (t) => {
  const { settledMs, falseDeaths } = await runFailureScenario('restart', instances, 1);
  t.true(settledMs !== null && settledMs < 5_000, `${settledMs}`);
  t.is(falseDeaths, 0);
});

// The machine's clock is an hour behind after the restart, so the incarnation of the new run is lower
// than that of the previous run. Unless the new run learns of this, all other instances keep the
// previous run in their view.
test('a restart with the clock set back becomes known', async (t) => {
  const { settledMs, falseDeaths } = await runFailureScenario(
    'restartWithClockSetBack',
    instances,
    1,
  );
  t.true(settledMs !== null && settledMs < 5_000, `${settledMs}`);
  t.is(falseDeaths, 0);
});

// Two halves of the fleet are partitioned for two minutes, and each declares the other dead. After
// the partition heals, outdated messages of one side must not make members of the other side declare
// each other dead.
test('a partition splits the membership view and heals without a false death', async (t) => {
  const { settledMs, falseDeaths } = await runFailureScenario('partitionAndHeal', instances, 1);
  t.true(settledMs !== null && settledMs < 10_000, `${settledMs}`);
  t.is(falseDeaths, 0);
});

test('during a partition each side sees the other as dead and its own as live', async (t) => {
  const fleet = new MemberFleet(6);
  await fleet.timeUntil(() => fleet.isConverged, 10_000);
  fleet.network.partition(['i1', 'i2', 'i3'], ['i4', 'i5', 'i6']);
  await fleet.clock.advance(15_000);
  t.deepEqual(
    ['i2', 'i3', 'i4', 'i5', 'i6'].map((id) => fleet.view('i1', id)?.state),
    ['live', 'live', 'dead', 'dead', 'dead'],
  );
});

// The platform's instance list lags and still contains an instance that ended long ago.
test('an instance that is listed but never answers is declared dead', async (t) => {
  const fleet = new MemberFleet(4);
  fleet.crash('i4');
  const isKnown = () => fleet.viewsOf('i4').every((member) => member?.state === 'dead');
  t.not(await fleet.timeUntil(isKnown, 20_000), undefined);
});

// The platform's instance list does not contain a new instance yet. The directory should return it to
// callers anyway, once it has contacted any other instance.
test('an instance that is not listed becomes known by its own messages', async (t) => {
  const fleet = new MemberFleet(4);
  await fleet.timeUntil(() => fleet.isConverged, 10_000);
  const unlistedInstance = fleet.start('i9');
  t.not(await fleet.timeUntil(() => fleet.isConverged, 10_000), undefined);
  t.is(unlistedInstance.membership.members.value.length, 4);
  t.false(fleet.view('i1', 'i9')?.isListed);
});

// An instance starts between two whole milliseconds of its clock. Its incarnation was taken from the
// clock and was not an integer, so peers refused all of its messages.
test('peers accept messages of an instance that starts between two milliseconds', async (t) => {
  const fleet = new MemberFleet(3);
  await fleet.clock.advance(0.5);
  fleet.start('i4');
  t.not(await fleet.timeUntil(() => fleet.isConverged, 10_000), undefined);
});
