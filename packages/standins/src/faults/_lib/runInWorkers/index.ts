/**
 * Runs the fault matrix with one worker thread per story; stories share no state.
 */
import { availableParallelism } from 'node:os';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { storyNamed } from '../../stories/index.js';
import type { FaultKind } from '../../types.js';
import { runMatrix, type MatrixCell } from '../../runMatrix/index.js';

/** Input of a worker thread. */
export interface StoryTask {
  readonly story: string;
  readonly seed: number;
  readonly pairs: number;
  readonly faults?: readonly FaultKind[];
}

/** Number of cores left free for other processes. */
const reservedCores = 2;

/**
 * Runs each task in its own thread, with at most one thread per core that is not reserved.
 *
 * @returns the cells, in the order of the tasks
 */
export async function runInWorkers(tasks: readonly StoryTask[]): Promise<MatrixCell[]> {
  const cells: MatrixCell[][] = [];
  const waiting = [...tasks.entries()];
  const processTasks = async () => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const [index, task] = next;
      cells[index] = await runInWorker(task);
    }
  };
  const threadCount = Math.max(1, availableParallelism() - reservedCores);
  await Promise.all(Array.from({ length: threadCount }, processTasks));
  return cells.flat();
}

function runInWorker(task: StoryTask): Promise<MatrixCell[]> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL(import.meta.url), { workerData: task });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

if (!isMainThread && isStoryTask(workerData)) {
  const { story, ...options } = workerData;
  parentPort?.postMessage(await runMatrix({ ...options, stories: [storyNamed(story)] }));
}

function isStoryTask(data: unknown): data is StoryTask {
  return typeof data === 'object' && data !== null && 'story' in data && 'pairs' in data;
}
