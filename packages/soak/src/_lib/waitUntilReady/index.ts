import { setTimeout as sleep } from 'node:timers/promises';
import type { InstanceProcess } from '../InstanceProcess/index.js';

/** Time limit for an instance to become ready, and timeout of one readiness request, in milliseconds. */
const startupTimes = { timeoutMs: 20_000, responseTimeoutMs: 2_000 } as const;

/**
 * Waits until an instance says that it is ready.
 *
 * @throws {Error} if it is not ready in time
 */
export async function waitUntilReady(process: InstanceProcess): Promise<void> {
  const deadlineMs = performance.now() + startupTimes.timeoutMs;
  let reason = 'it did not answer';
  while (performance.now() < deadlineMs) {
    try {
      const signal = AbortSignal.timeout(startupTimes.responseTimeoutMs);
      const response = await fetch(`http://127.0.0.1:${process.ports.ready}/readiness`, { signal });
      if (response.ok) return;
      reason = `it answered ${response.status}`;
    } catch (thrown) {
      // The instance does not listen yet.
      reason = String((thrown as Error).cause ?? thrown);
    }
    await sleep(50);
  }
  const { timeoutMs: waitedMs } = startupTimes;
  throw new Error(`instance not ready within ${waitedMs} ms: ${reason}; ${process.stateSummary}`);
}
