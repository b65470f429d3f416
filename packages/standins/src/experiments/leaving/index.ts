/**
 * Compares how long an answer should continue after its caller has disconnected: the tokens that are
 * wasted if the caller does not return against the repeated runs if it does.
 */
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import { StreamLoad } from '../../_lib/StreamLoad/index.js';
import type { ResultRow } from '../../printTable/index.js';

const requestCount = 300;
const callIntervalMs = 100;
/** With this gap, answers take up to 20 s, like long answers of a large model. */
const tokenGapMs = 100;
/** Fraction of the callers that lose their connection. */
const disconnectShare = 0.3;
/** Maximum time until the disconnection, and from there until the reconnection. */
const maxTimes = { disconnectMs: 15_000, reconnectDelayMs: 8_000 };

const lingerMsByPolicy: Readonly<Record<string, number>> = {
  cancelAtOnce: 0,
  linger2s: 2_000,
  linger5s: 5_000,
  runToTheEnd: 600_000,
};

/** Runs each policy with each share of disconnected callers that return. */
export async function run({ seed }: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const policy of Object.keys(lingerMsByPolicy)) {
    for (const reconnectShare of [0, 0.5, 1])
      rows.push(await runCell(policy, reconnectShare, seed));
  }
  return rows;
}

async function runCell(policy: string, reconnectShare: number, seed: number): Promise<ResultRow> {
  const lingerMs = lingerMsByPolicy[policy] ?? 0;
  await using load = await StreamLoad.start({
    seed,
    engineOptions: { tokenGapMs, maxRunningRequests: 64 },
    instanceOptions: { lingerMs },
  });
  const { clock } = load.fleet;
  const reads: Promise<number>[] = [];
  for (let index = 0; index < requestCount; index += 1) {
    reads.push(readWithDisconnect(load, index, reconnectShare));
    await clock.advance(callIntervalMs);
  }
  const delivered = await clock.runUntil(Promise.all(reads));
  await clock.advance(60_000);
  const deliveredTokens = delivered.reduce((sum, tokens) => sum + tokens, 0);
  const generatedTokens = load.records.reduce((sum, record) => sum + record.outputTokens, 0);
  const billedTokens = load.instance.metrics.counter('billedTokens', 'one/review');
  return {
    policy,
    isDefault: policy === 'linger5s',
    returnPercent: 100 * reconnectShare,
    seed,
    requests: requestCount,
    answered: delivered.filter((tokens) => tokens > 0).length,
    secondRuns: load.records.length - requestCount,
    generatedTokens,
    deliveredTokens,
    wastedPercent: Math.round((100 * (generatedTokens - deliveredTokens)) / generatedTokens),
    billedTokens,
  };
}

/**
 * Reads one answer, with a random disconnection and reconnection.
 *
 * @returns the tokens of the answer if the caller received its end, otherwise 0
 */
async function readWithDisconnect(
  load: StreamLoad,
  index: number,
  reconnectShare: number,
): Promise<number> {
  const { clock } = load.fleet;
  const call = load.createCall(index);
  const [disconnectDraw, disconnectTimeDraw, reconnectDraw, reconnectDelayDraw] = [1, 2, 3, 4].map(
    () => load.random(),
  );
  if (disconnectDraw === undefined || disconnectDraw >= disconnectShare)
    return completedTokens(await load.read(call));
  const abort = new AbortController();
  const timer = clock.schedule((disconnectTimeDraw ?? 0) * maxTimes.disconnectMs, () => {
    abort.abort();
  });
  const firstOutcome = await load.read(call, abort.signal);
  timer[Symbol.dispose]();
  if (firstOutcome.final !== undefined || (reconnectDraw ?? 0) >= reconnectShare)
    return completedTokens(firstOutcome);
  await clock.sleep((reconnectDelayDraw ?? 0) * maxTimes.reconnectDelayMs);
  return completedTokens(await load.read(call));
}

function completedTokens(outcome: Awaited<ReturnType<StreamLoad['read']>>): number {
  return outcome.final?.outputTokens ?? 0;
}
