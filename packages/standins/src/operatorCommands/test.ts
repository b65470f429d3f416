import test, { type ExecutionContext } from 'ava';
import { ManualClock, RouterError, type FailureDomainId, type InstanceId } from '@acaciacrank/base';
import {
  exitCodeOf,
  HttpOperatorPortClient,
  OperatorPortClient,
  runBudget,
  runDiff,
  runDrain,
  runExplain,
  runPromote,
  runRollback,
  runStatus,
  runTopUp,
  runTry,
  type CommandContext,
  type InstanceAnswer,
} from '@acaciacrank/ctl';
import { ConfigurationWatcher, environmentStore } from '@acaciacrank/operators';
import type { ListedInstance } from '@acaciacrank/store';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createDocumentText } from '../configuration/_lib/configurationDocument/index.js';
import { MemoryInstanceList, MemoryObjectStore, MemoryPlatform } from '@acaciacrank/store';

/** Fake operator ports of instances; those in {@link unreachable} do not respond. */
class LocalOperatorPortClient extends OperatorPortClient {
  readonly watchers = new Map<string, ConfigurationWatcher>();
  readonly unreachable = new Set<string>();
  readonly drained: string[] = [];

  override status({ id }: ListedInstance): Promise<InstanceAnswer> {
    if (this.unreachable.has(id)) {
      const message = 'it did not answer';
      return Promise.reject(new RouterError('upstreamUnavailable', message, { ran: 'unknown' }));
    }
    const inForce = this.watchers.get(id)?.inForce.value;
    return Promise.resolve({
      isAccepting: true,
      openRequests: 2,
      version: inForce?.version,
      digest: inForce?.digest,
      sinceMs: inForce?.sinceMs,
      problem: undefined,
    });
  }

  override drain(entry: ListedInstance): Promise<InstanceAnswer> {
    this.drained.push(entry.id);
    return this.status(entry);
  }
}

async function setUp(t: ExecutionContext) {
  const clock = new ManualClock();
  const platform = new MemoryPlatform(clock);
  const store = new MemoryObjectStore(platform, clock);
  const operatorPortClient = new LocalOperatorPortClient();
  const instanceList = new MemoryInstanceList(platform, store.link);
  const context: CommandContext = {
    clock,
    store,
    instanceList,
    operatorPortClient,
    waitMs: 10_000,
  };
  const start = async (id: string, environment: string) => {
    platform.setInstance({
      id: id as InstanceId,
      role: 'entry',
      url: `http://127.0.0.1/${id}`,
      failureDomain: 'wellington' as FailureDomainId,
      state: 'live',
      environment,
    });
    const instanceStore = environmentStore(new MemoryObjectStore(platform, clock), environment);
    const instanceId = id as InstanceId;
    const watcher = new ConfigurationWatcher({
      store: instanceStore,
      clock,
      environment,
      instanceId,
    });
    operatorPortClient.watchers.set(id, watcher);
    await clock.runUntil(watcher.start());
    t.teardown(() => watcher[Symbol.asyncDispose]());
  };
  const directory = mkdtempSync(join(tmpdir(), 'acaciacrank-'));
  t.teardown(() => {
    rmSync(directory, { recursive: true });
  });
  const file = (documentNumber: number) => {
    const path = join(directory, `kapiti-${documentNumber}.yaml`);
    writeFileSync(path, createDocumentText(documentNumber));
    return path;
  };
  const run = <Value>(work: Promise<Value>) => clock.runUntil(work);
  return { clock, platform, store, operatorPortClient, context, start, file, run };
}

async function expectRouterError(
  t: ExecutionContext,
  work: Promise<unknown>,
): Promise<RouterError> {
  const error = await t.throwsAsync(work);
  if (error instanceof RouterError) return error;
  throw new Error('expected a RouterError');
}

test('a change goes from trial to production and back, and each step reports what is in force', async (t) => {
  const { context, start, file, run } = await setUp(t);
  await start('trial-1', 'kapiti.trial');
  for (const id of ['i1', 'i2']) await start(id, 'kapiti');
  t.is((await expectRouterError(t, run(runPromote(context, file(10))))).kind, 'notTried');
  for (const documentNumber of [10, 20]) {
    const tried = await run(runTry(context, file(documentNumber)));
    t.true(tried.isCertain);
    t.regex(
      tried.text,
      /trial-1 of kapiti\.trial acts on these bytes: they may be promoted\.\nNext:/,
    );
    const promoted = await run(runPromote(context, file(documentNumber)));
    t.true(promoted.isCertain);
    t.regex(promoted.text, /In force on 2 of 2 listed instances/);
  }
  t.regex((await run(runDiff(context, file(20)))).text, /against version 2 of kapiti: 0 changes/);
  const back = await run(runRollback(context, 'kapiti'));
  t.regex(back.text, /^Version 3 of kapiti is accepted .*\nIt has the bytes of version 1/);
  const status = await run(runStatus(context, 'kapiti'));
  t.true(status.isCertain);
  t.regex(status.text, /Version 3 of kapiti is accepted .* a rollback to version 1\)/);
  t.regex(status.text, /Trial has version 2 of its own, OTHER bytes than production/);
  t.regex(status.text, /porirua-2026: prepaid 10, spent 0/);
});

// Guards against reporting success while the state of an instance is unknown: one of two instances
// cannot be reached after a promotion, and the operator may not check again for half a year.
test('an instance that does not respond is reported as unknown', async (t) => {
  const { context, start, file, run, operatorPortClient } = await setUp(t);
  await start('trial-1', 'kapiti.trial');
  for (const id of ['i1', 'i2']) await start(id, 'kapiti');
  await run(runTry(context, file(10)));
  operatorPortClient.unreachable.add('i2');
  const promoted = await run(runPromote(context, file(10)));
  t.false(promoted.isCertain);
  t.regex(promoted.text, /In force on 1 of 2 listed instances; 0 not yet, 1 unknown/);
  const status = await run(runStatus(context, 'kapiti'));
  t.false(status.isCertain);
  t.regex(status.text, /i2 \(wellington, live\): UNKNOWN: it did not answer/);
});

// Guards against showing an empty list, which reads as "no problem", when the store and the instance
// list do not respond.
test('status reports everything as unknown while the platform is down', async (t) => {
  const { context, start, run, store } = await setUp(t);
  await start('i1', 'kapiti');
  store.link.isDown = true;
  const status = await run(runStatus(context, 'kapiti'));
  t.false(status.isCertain);
  t.regex(status.text, /Which version of kapiti is accepted is UNKNOWN/);
  t.regex(status.text, /Where it is in force is unknown/);
});

// Guards against reporting a promotion as failed when the store has written it but its response is lost
// and the store stays unreachable: the operator would believe that production is unchanged.
test('the outcome of a promotion whose response is lost is unknown', async (t) => {
  const { context, start, file, run, store } = await setUp(t);
  await start('trial-1', 'kapiti.trial');
  await run(runTry(context, file(10)));
  const write = store.write.bind(store);
  store.write = async (key, value, condition) => {
    const result = await write(key, value, condition);
    if (!key.endsWith('manifest')) return result;
    store.link.isDown = true;
    throw new RouterError('storeUnavailable', 'the platform did not answer');
  };
  const error = await expectRouterError(t, run(runPromote(context, file(10))));
  t.deepEqual([error.ran, exitCodeOf(error)], ['unknown', 5]);
  store.link.isDown = false;
  t.regex((await run(runStatus(context, 'kapiti'))).text, /Version 1 of kapiti is accepted/);
});

// Guards against promoting a document that the trial environment has accepted while no trial instance
// runs. The promotion must be refused until one has applied it.
test('a document that no trial instance has applied does not count as tried', async (t) => {
  const { context, file, run } = await setUp(t);
  const tried = await run(runTry(context, file(10)));
  t.false(tried.isCertain);
  t.regex(tried.text, /whether it will is unknown\.\nNext: start an instance/);
  const error = await expectRouterError(t, run(runPromote(context, file(10))));
  t.deepEqual([error.kind, exitCodeOf(error)], ['notTried', 3]);
});

// Guards against adding the tokens of one payment twice: the response to a top-up is lost and the
// operator runs the same top-up again.
test('the outcome of a top-up whose response is lost is unknown, and a repeat adds no tokens', async (t) => {
  const { context, start, file, run, store } = await setUp(t);
  await start('trial-1', 'kapiti.trial');
  await run(runTry(context, file(10)));
  await run(runPromote(context, file(10)));
  const options = { environment: 'kapiti', budgetId: 'porirua-2026', topUpId: 'inv-1', tokens: 50 };
  const { write } = store;
  store.write = async (key, value, condition) => {
    await write.call(store, key, value, condition);
    store.link.isDown = true;
    throw new RouterError('storeUnavailable', 'the platform did not answer');
  };
  const error = await expectRouterError(t, run(runTopUp(context, options)));
  t.deepEqual([error.ran, exitCodeOf(error)], ['unknown', 5]);
  store.write = write;
  store.link.isDown = false;
  t.is((await run(runTopUp(context, options))).data.prepaidTokens, 60);
  const shown = await run(runBudget(context, 'kapiti', 'porirua-2026'));
  t.regex(shown.text, /prepaid 60, spent 0, .*\(client account porirua\)/);
  // The budget of the same name in the trial environment is a separate one.
  const trial = await run(runBudget(context, 'kapiti.trial', 'porirua-2026'));
  t.is(trial.data.prepaidTokens, 10);
});

test('drain accepts only listed instances of the environment', async (t) => {
  const { context, start, run, operatorPortClient } = await setUp(t);
  await start('trial-1', 'kapiti.trial');
  await start('i1', 'kapiti');
  t.regex((await run(runDrain(context, 'kapiti', 'i1'))).text, /2 requests under way are finished/);
  const error = await expectRouterError(t, run(runDrain(context, 'kapiti', 'trial-1')));
  t.regex(error.message, /lists no instance trial-1 of kapiti; it lists: i1/);
  t.deepEqual(operatorPortClient.drained, ['i1']);
});

test('explain describes an error kind, and lists all kinds if it is unknown', async (t) => {
  t.is(runExplain('budgetExhausted').data.httpStatus, 402);
  const error = await expectRouterError(
    t,
    Promise.resolve().then(() => runExplain('constructor')),
  );
  t.regex(error.message, /there is no error kind constructor; kinds are: badDocument, /);
});

test('an instance is unknown if the key or the address of its operator port is missing', async (t) => {
  const clock = new ManualClock();
  const entry = {
    id: 'i1' as InstanceId,
    role: 'entry',
    url: 'http://127.0.0.1:9',
    failureDomain: 'wellington' as FailureDomainId,
    state: 'live',
  } as const;
  const clientWithKey = new HttpOperatorPortClient({ clock, key: 'secret' });
  t.regex((await expectRouterError(t, clientWithKey.status(entry))).message, /does not say where/);
  const clientWithoutKey = new HttpOperatorPortClient({ clock, key: undefined });
  const listed = { ...entry, operatorsUrl: 'http://127.0.0.1:9' };
  t.regex(
    (await expectRouterError(t, clientWithoutKey.status(listed))).message,
    /no operators' key/,
  );
});
