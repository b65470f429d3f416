/**
 * `npm run bench -- control`: measures the CPU time that an instance needs to track its upstreams:
 * reading the platform's instance list, choosing its subset, and reading a load report over loopback.
 */
import {
  SystemClock,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { createStoreServer, PlatformObjectStore } from '@acaciacrank/platform';
import {
  instanceListKey,
  MemoryPlatform,
  StoredInstanceList,
  type ListedInstance,
} from '@acaciacrank/store';
import { chooseSubset } from '@acaciacrank/routing';
import { HttpEngineClient } from '@acaciacrank/upstreams';
import type { ResultRow } from '../../printTable/index.js';
import { startLoopbackFleet } from '../_lib/startLoopbackFleet/index.js';
import type { AddressInfo } from 'node:net';
import { roundHundredths } from '../_lib/roundHundredths/index.js';

const microsecondsInMillisecond = 1_000;
const listReads = 10;
const loadReads = 2_000;
const clock = new SystemClock();

/** Measures three fleet sizes, and the reading of load reports. */
export async function run(): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const [instances, upstreams, services] of [
    [5, 15, 2],
    [39, 1_200, 36],
    [390, 12_000, 36],
  ] as const) {
    const list = await readList(instances, upstreams);
    const subset = chooseSubsets(instances, upstreams, services);
    rows.push({ instances, upstreams, services, ...list, ...subset });
  }
  rows.push({ instances: 1, upstreams: 1, services: 1, ...(await readLoads()) });
  return rows;
}

async function readList(instances: number, upstreams: number): Promise<ResultRow> {
  const platform = new MemoryPlatform(clock);
  for (let index = 0; index < instances + upstreams; index += 1) {
    const entry = createListedInstance(index, instances);
    platform.write(instanceListKey(entry.id), entry, { kind: 'none' });
  }
  const server = createStoreServer(platform);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const store = new PlatformObjectStore({ url, clock });
  const list = new StoredInstanceList(store);
  const cpuBefore = process.cpuUsage();
  for (let read = 0; read < listReads; read += 1) await list.read();
  const { user, system } = process.cpuUsage(cpuBefore);
  await store[Symbol.asyncDispose]();
  server.close();
  const listBytes = JSON.stringify(platform.objects()).length;
  return {
    listBytes,
    listCpuMs: roundHundredths((user + system) / listReads / microsecondsInMillisecond),
  };
}

function createListedInstance(index: number, instances: number): ListedInstance {
  const isEntry = index < instances;
  return {
    id: `instance-${index}` as InstanceId,
    role: isEntry ? 'entry' : 'engine',
    service: `service-${index % 36}` as ServiceName,
    url: `http://10.0.${index >> 8}.${index % 256}:8080`,
    failureDomain: `domain-${index % 20}` as FailureDomainId,
    state: 'live',
  };
}

function chooseSubsets(instances: number, upstreams: number, services: number): ResultRow {
  const ids = Array.from({ length: instances }, (_, index) => `instance-${index}` as InstanceId);
  const ownId = ids[0] ?? ('instance-0' as InstanceId);
  const startedMs = clock.monotonicMs();
  let chosenCount = 0;
  for (let service = 0; service < services; service += 1) {
    const count = Math.ceil(upstreams / services);
    const members = Array.from(
      { length: count },
      (_, index) => `${service}-${index}` as UpstreamId,
    );
    chosenCount += chooseSubset(ownId, ids, members).size;
  }
  return {
    subsetUpstreams: chosenCount,
    subsetMs: roundHundredths(clock.monotonicMs() - startedMs),
  };
}

/** Client and server are both in this process, so the result is an upper bound for the client. */
async function readLoads(): Promise<ResultRow> {
  await using fleet = await startLoopbackFleet(20);
  await using client = new HttpEngineClient({ url: fleet.engineUrl, clock });
  const cpuBefore = process.cpuUsage();
  for (let read = 0; read < loadReads; read += 1) await client.readLoad();
  const { user, system } = process.cpuUsage(cpuBefore);
  return { loadReadCpuMicroseconds: roundHundredths((user + system) / loadReads) };
}
