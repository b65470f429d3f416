import {
  ClosedClients,
  createLog,
  createRandom,
  DisposableStore,
  Metrics,
  readMachineLimits,
  SystemClock,
  type ClientPort,
  type ClientCloseReason,
  type FailureDomainId,
  type InstanceId,
  type Log,
} from '@acaciacrank/base';
import { createCallerServer } from '@acaciacrank/callers';
import {
  NoFleetLinks,
  WsFleetLinks,
  type FleetLinks,
  type WsFleetLinksOptions,
} from '@acaciacrank/fleet';
import { environmentList, environmentStore } from '@acaciacrank/operators';
import { PlatformObjectStore } from '@acaciacrank/platform';
import { planClientLimits, type ClientLimitPlan } from '@acaciacrank/routing';
import { StoredInstanceList } from '@acaciacrank/store';
import type { Server } from 'node:http';
import { isIPv6, type AddressInfo } from 'node:net';
import { describeInstance } from '../describeInstance/index.js';
import { createOperatorServer } from '../createOperatorServer/index.js';
import { HttpUpstreamClients } from '../HttpUpstreamClients/index.js';
import { Instance, instanceSeed } from '../Instance/index.js';
import type { InstanceSettings } from '../instanceSettings/index.js';
import type { StopResult } from '../PlannedStop/index.js';

/** A running instance with open ports. */
export interface RunningInstance extends AsyncDisposable {
  readonly instance: Instance;
  readonly callersPort: number;
  readonly operatorsPort: number;
  /** Performs a planned stop, then closes all resources. */
  stop(): Promise<StopResult>;
  /** Resolves when a planned stop has ended, however it was started. */
  readonly stopped: Promise<StopResult>;
}

/**
 * Runs an instance with its ports, using the system clock, the platform and HTTP upstreams.
 *
 * @param settings - validated settings
 * @returns the running instance
 * @throws RouterError `storeUnavailable` if the platform does not respond at startup
 *
 * @example
 * const running = await runInstance(readSettings('instance.yaml', instanceSettingsSchema));
 */
export async function runInstance(settings: InstanceSettings): Promise<RunningInstance> {
  const owned = new DisposableStore();
  const log = createLog('acaciacrank', {
    level: settings.logLevel,
    fields: { instanceId: settings.instanceId, failureDomain: settings.failureDomain },
  });
  const limits = planClientLimits(readMachineLimits(settings.machine));
  const metrics = new Metrics();
  const closedClients = new ClosedClients({ clock: new SystemClock(), log, metrics });
  const clients: Clients = {
    limits,
    onClosedAt: (port) => (reason) => {
      closedClients.record(port, reason);
    },
  };
  const { instance, fleetUrl } = await createInstance(settings, owned, { log, metrics, clients });
  const { promise: stopped, resolve: onStopped } = createPromise<StopResult>();
  const stop = async () => {
    const result = await instance.drain(settings.stopLimitMs);
    await owned.dispose();
    log.info(result, 'stopped');
    onStopped(result);
    return result;
  };
  const callers = createCallersServer(instance, clients);
  const callersPort = await listen(callers, settings.callers, owned);
  const { keyDigest } = settings.operators;
  const operators = createOperatorServer({
    clock: new SystemClock(),
    metrics: instance.metrics,
    status: () => describeInstance(instance, settings.instanceId),
    keyDigest,
    onDrain: () => void stop(),
    onLift: (feature) => instance.quarantine.lift(feature),
    limits: limits.status,
    onClosed: clients.onClosedAt('operators'),
  });
  const operatorsPort = await listen(operators, settings.operators, owned);
  await instance.start({ url: formatUrl('http', settings.callers.ip, callersPort), fleetUrl });
  log.info({ callersPort, operatorsPort, fleetUrl, limits }, 'listening');
  return {
    instance,
    callersPort,
    operatorsPort,
    stop,
    stopped,
    [Symbol.asyncDispose]: () => owned.dispose(),
  };
}

/** Limits of all ports, and what records connections that are closed past them. */
interface Clients {
  readonly limits: ClientLimitPlan;
  readonly onClosedAt: (port: ClientPort) => (reason: ClientCloseReason) => void;
}

interface InstanceDependencies {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly clients: Clients;
}

async function createInstance(
  settings: InstanceSettings,
  owned: DisposableStore,
  { log, metrics, clients }: InstanceDependencies,
) {
  const clock = new SystemClock();
  const instanceId = settings.instanceId as InstanceId;
  const store = owned.add(new PlatformObjectStore({ url: settings.platformUrl, clock }));
  const random = createRandom(instanceSeed(instanceId, clock.wallMs()));
  const shared = { clock, random, metrics, log };
  const { links, fleetUrl } = await openLinks(settings, owned, {
    ...shared,
    limits: clients.limits.fleet,
    onClosed: clients.onClosedAt('fleet'),
  });
  const instance = owned.add(
    new Instance({
      instanceId,
      environment: settings.environment,
      failureDomain: settings.failureDomain as FailureDomainId,
      clock,
      random,
      metrics,
      store: environmentStore(store, settings.environment),
      list: environmentList(new StoredInstanceList(store), settings.environment),
      clients: new HttpUpstreamClients(clock),
      links,
      log,
    }),
  );
  return { instance, fleetUrl };
}

async function openLinks(
  settings: InstanceSettings,
  owned: DisposableStore,
  sharedOptions: Omit<WsFleetLinksOptions, 'instanceId' | 'environment' | 'keys'>,
): Promise<{ links: FleetLinks; fleetUrl: string }> {
  const { fleet, environment } = settings;
  if (fleet === undefined) return { links: new NoFleetLinks(), fleetUrl: '' };
  const instanceId = settings.instanceId as InstanceId;
  const links = owned.add(
    new WsFleetLinks({ ...sharedOptions, instanceId, environment, keys: fleet.keys }),
  );
  const port = await links.listen(fleet);
  return { links, fleetUrl: formatUrl('ws', fleet.ip, port) };
}

function createCallersServer(instance: Instance, { limits, onClosedAt }: Clients): Server {
  const callers = createCallerServer({
    chat: instance.chat,
    services: instance.services,
    metrics: instance.metrics,
    directory: (accountKey, nearFailureDomain) =>
      instance.findInstances(accountKey, nearFailureDomain),
    isAccepting: () => instance.isAccepting,
    limits: limits.callers,
    onClosed: onClosedAt('callers'),
  });
  callers.on('request', (request, response) => {
    const accountKey = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1];
    const openRequest = instance.beginRequest(accountKey);
    response.once('close', () => {
      openRequest[Symbol.dispose]();
    });
  });
  return callers;
}

function formatUrl(scheme: 'http' | 'ws', ip: string, port: number): string {
  return `${scheme}://${isIPv6(ip) ? `[${ip}]` : ip}:${port}`;
}

function createPromise<Value>() {
  let resolve: (value: Value) => void = () => undefined;
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

async function listen(
  server: Server,
  address: { ip: string; port: number },
  owned: DisposableStore,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.ip, resolve);
  });
  owned.add({
    [Symbol.asyncDispose]: () =>
      new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  });
  return (server.address() as AddressInfo).port;
}
