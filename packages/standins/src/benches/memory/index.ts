/**
 * `npm run bench -- memory`: measures the heap of an instance by the number of open streams.
 *
 * The fake platform, the fake engine and the callers are in the same process, so the result is an
 * upper bound for the instance.
 */
import { Agent } from 'undici';
import type { ResultRow } from '../../printTable/index.js';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import { startLoopbackFleet } from '../_lib/startLoopbackFleet/index.js';
import { streamFromEngine, streamThroughInstance } from '../_lib/streamTokens/index.js';

const bytesInKilobyte = 1_000;
/** Long enough for all streams to be open at the same time. */
const streamTokens = 400;
/** Time after which all streams are open. */
const startupMs = 1_500;

/** Measures 50, 200 and 400 open streams, each directly and through the instance. */
export async function run(options: RunOptions): Promise<readonly ResultRow[]> {
  const dispatcher = new Agent({ connections: 1_000 });
  await using fleet = await startLoopbackFleet(20);
  const rows: ResultRow[] = [];
  for (const openStreams of [50, 200, 400]) {
    const key = `${options.seed}-memory-${openStreams}`;
    const openStreamsOf = (isDirect: boolean) =>
      Array.from({ length: openStreams }, (_, index) => {
        const streamRequest = {
          dispatcher,
          key: `${key}-${isDirect}-${index}`,
          maxTokens: streamTokens,
        };
        return isDirect
          ? streamFromEngine(fleet, streamRequest)
          : streamThroughInstance(fleet, streamRequest);
      });
    const directBytes = await measureHeapGrowthBytes(() => openStreamsOf(true));
    const throughInstanceBytes = await measureHeapGrowthBytes(() => openStreamsOf(false));
    rows.push({
      openStreams,
      heapDirectKilobytes: Math.round(directBytes / bytesInKilobyte),
      heapThroughKilobytes: Math.round(throughInstanceBytes / bytesInKilobyte),
      addedKilobytesPerStream: Math.round(
        (throughInstanceBytes - directBytes) / openStreams / bytesInKilobyte,
      ),
    });
  }
  await dispatcher.close();
  return rows;
}

/** Growth of the used heap from before the streams are opened until all are open, in bytes. */
async function measureHeapGrowthBytes(open: () => readonly Promise<unknown>[]): Promise<number> {
  globalThis.gc?.();
  const beforeBytes = process.memoryUsage().heapUsed;
  const settled = Promise.all(open());
  await new Promise((resolve) => {
    setTimeout(resolve, startupMs);
  });
  globalThis.gc?.();
  const duringBytes = process.memoryUsage().heapUsed;
  await settled;
  return duringBytes - beforeBytes;
}
