import test from 'ava';
import { bytesInMebibyte, type ClientLimits } from '@acaciacrank/base';
import { connectionBytes, planClientLimits, requestBytes, upstreamExchangeBytes } from './index.js';

const restMb = 112;
const maxHeapMb = 128;

/** Memory of all that clients may hold, in bytes. */
function heldBytes({ maxConnections, maxRequests, maxHeadBytes }: ClientLimits): number {
  return maxConnections * connectionBytes + maxRequests * requestBytes + maxHeadBytes;
}

// Guards against limits that add up to more than the machine has, so that clients end the process together.
for (const memoryMb of [160, 200, 255, 310, 420, 610, 4_096]) {
  test(`what clients may hold fits a machine with ${memoryMb} MiB and its descriptors`, (t) => {
    const descriptors = 4_100;
    const plan = planClientLimits({ memoryBytes: memoryMb * bytesInMebibyte, descriptors });
    const exchangeBytes = plan.callers.maxRequests * upstreamExchangeBytes;
    const callersBytes = heldBytes(plan.callers) + exchangeBytes + plan.callers.maxHeldBytes;
    const { directory } = plan;
    const directoryBytes = directory.maxConnections * connectionBytes + directory.maxHeadBytes;
    const othersBytes = 2 * heldBytes(plan.status) + heldBytes(plan.fleet);
    const totalBytes = callersBytes + directoryBytes + othersBytes;
    t.true(totalBytes <= (memoryMb - restMb) * bytesInMebibyte, `${totalBytes / bytesInMebibyte}`);
    const open =
      plan.callers.maxConnections +
      plan.directory.maxConnections +
      2 * plan.status.maxConnections +
      plan.fleet.maxConnections +
      plan.fleet.maxPeers;
    const ownFiles = 200;
    t.true(open + plan.callers.maxRequests <= descriptors - ownFiles, `${open}`);
    const requestsBytes = plan.callers.maxRequests * (requestBytes + upstreamExchangeBytes);
    t.true(requestsBytes <= (maxHeapMb / 2) * bytesInMebibyte);
  });
}

test('a body of the usual limit fits on the smallest machine', (t) => {
  const plan = planClientLimits({ memoryBytes: 200 * bytesInMebibyte, descriptors: 4_100 });
  t.true(plan.callers.maxHeldBytes >= 4 * 4 * bytesInMebibyte);
});
