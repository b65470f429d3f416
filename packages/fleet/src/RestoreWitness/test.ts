import test from 'ava';
import { ManualClock, type InstanceId } from '@acaciacrank/base';
import type { RegisteredRun } from '../Registrations/index.js';
import { RestoreWitness } from './index.js';

function run(name: string, accountedEpoch: number, isPossiblyRunning = true): RegisteredRun {
  return {
    instanceId: name as InstanceId,
    runId: `run of ${name}`,
    restores: { firstEpoch: 1, accountedEpoch, witnessedEpoch: 0 },
    isPossiblyRunning,
  };
}

/** A witness that has listed the given runs each second for a while. */
async function startWitness(runs: readonly RegisteredRun[], listedForS: number) {
  const clock = new ManualClock();
  const own = { accountedEpoch: 1 };
  const witness = new RestoreWitness({
    clock,
    isFirstStart: true,
    ownAccountedEpoch: () => own.accountedEpoch,
  });
  const list = async (epoch: number, listed: readonly RegisteredRun[], forS = 1) => {
    for (let second = 0; second < forS; second += 1) {
      witness.applyRuns(epoch, listed);
      await clock.advance(1_000);
    }
  };
  await list(1, runs, listedForS);
  return { witness, list, own };
}

test('it witnesses an epoch once every run that it saw, and its own, have reported', async (t) => {
  const { witness, list, own } = await startWitness([run('a', 1), run('b', 1)], 40);
  await list(2, [run('a', 1), run('b', 1)]);
  t.false(witness.isAccounted(2));
  await list(2, [run('a', 2), run('b', 1)]);
  t.deepEqual(witness.pendingRuns, ['run of b']);
  await list(2, [run('a', 2), run('b', 2)]);
  t.false(witness.isAccounted(2), 'its own grants are not confirmed yet');
  own.accountedEpoch = 2;
  await list(2, [run('a', 2), run('b', 2)]);
  t.true(witness.isAccounted(2));
  t.is(witness.report?.witnessedEpoch, 2);
  t.false(witness.isAccounted(3), 'the next restore needs a witness of its own');
});

// Guards against granting again what a run held that ended shortly before the restore.
test('a run that ended within the age of the copy leaves nobody to witness', async (t) => {
  const { witness, list, own } = await startWitness([run('a', 1), run('b', 1)], 40);
  await list(1, [run('a', 1)], 20);
  own.accountedEpoch = 2;
  await list(2, [run('a', 2)], 60);
  t.deepEqual(witness.pendingRuns, ['run of b']);
  t.false(witness.isAccounted(2));
});

test('a run that ended long before the restore is not waited for', async (t) => {
  const { witness, list, own } = await startWitness([run('a', 1), run('b', 1)], 40);
  await list(1, [run('a', 1)], 45);
  own.accountedEpoch = 2;
  await list(2, [run('a', 2)], 2);
  t.true(witness.isAccounted(2));
});

// Guards against a witness that did not see all runs of the time that can be lost.
test('a run that started within the age of the copy witnesses nothing itself', async (t) => {
  const { witness, list, own } = await startWitness([run('a', 1)], 10);
  own.accountedEpoch = 2;
  await list(2, [run('a', 2)], 60);
  t.false(witness.isAccounted(2));
  const told = { ...run('a', 2), restores: { accountedEpoch: 2, witnessedEpoch: 2 } };
  await list(2, [told]);
  t.true(witness.isAccounted(2), 'another witness suffices');
});

// Guards against taking the present epoch for the first one, so that lost pages would count as new.
test('the first epoch is learnt from others, and is 0 until they tell it', (t) => {
  const clock = new ManualClock();
  const witness = new RestoreWitness({ clock, isFirstStart: false, ownAccountedEpoch: () => 0 });
  t.is(witness.firstEpoch, undefined);
  witness.applyRuns(4, []);
  t.is(witness.firstEpoch, 0);
  witness.applyRuns(4, [run('a', 1)]);
  t.is(witness.firstEpoch, 1);
});

// Guards against granting again what a run held that no list has ever shown: it was heard of over links only.
test('a run that was heard of over links and ended before any list showed it leaves nobody to witness', async (t) => {
  const { witness, list, own } = await startWitness([run('a', 1)], 40);
  witness.recordRun('short run');
  await list(1, [run('a', 1)], 2);
  own.accountedEpoch = 2;
  await list(2, [run('a', 2)], 20);
  t.deepEqual(witness.pendingRuns, ['short run']);
  t.false(witness.isAccounted(2));
});

test('a run that was heard of over links long before the restore is not waited for', async (t) => {
  const { witness, list, own } = await startWitness([run('a', 1)], 40);
  witness.recordRun('short run');
  await list(1, [run('a', 1)], 60);
  own.accountedEpoch = 2;
  await list(2, [run('a', 2)]);
  t.true(witness.isAccounted(2));
});
