#!/usr/bin/env node
/**
 * Command line for the fake platform, engine and service, and for the load of the demonstration.
 */
import {
  SystemClock,
  type FailureDomainId,
  type InstanceId,
  type ServiceName,
  type UpstreamId,
} from '@acaciacrank/base';
import { createStoreServer, PlatformObjectStore } from '@acaciacrank/platform';
import { instanceListKey, MemoryPlatform, type ListedInstance } from '@acaciacrank/store';
import { cac } from 'cac';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createEngineServer } from './createEngineServer/index.js';
import { createServiceServer } from './createServiceServer/index.js';
import { runDemoLoad } from './demo/load.js';
import { StandinEngine } from './StandinEngine/index.js';
import { StandinService } from './StandinService/index.js';

interface UpstreamOptions {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  readonly platform: string;
}

interface EntryOptions {
  readonly platform: string;
  readonly fleetPort?: string;
  readonly operatorsPort?: string;
  readonly environment?: string;
}

const clock = new SystemClock();

async function listen(server: Server, port = 0): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function register(platformUrl: string, entry: ListedInstance): Promise<void> {
  await using store = new PlatformObjectStore({ url: platformUrl, clock });
  await store.write(instanceListKey(entry.id), entry, { kind: 'none' });
}

async function registerUpstream(
  options: UpstreamOptions,
  role: 'engine' | 'service',
  url: string,
): Promise<void> {
  await register(options.platform, {
    id: options.id as InstanceId,
    role,
    service: options.service as ServiceName,
    url,
    failureDomain: options.domain as FailureDomainId,
    state: 'live',
  });
}

const cli = cac('standins');
cli
  .command('platform <port>', 'Run a fake platform (object store)')
  .action(async (port: string) => {
    process.stdout.write(
      `${await listen(createStoreServer(new MemoryPlatform(clock)), Number(port))}\n`,
    );
  });
cli
  .command('engine', 'Run a fake model engine')
  .option('--id <id>', 'Id of the upstream')
  .option('--service <name>', 'Service to which it belongs')
  .option('--domain <id>', 'Failure domain')
  .option('--platform <url>', 'Platform at which it is registered')
  .action(async (options: UpstreamOptions) => {
    const engine = new StandinEngine({ id: options.id as UpstreamId, clock });
    await registerUpstream(options, 'engine', await listen(createEngineServer(engine)));
  });
cli
  .command('service', 'Run a fake plain service')
  .option('--id <id>', 'Id of the upstream')
  .option('--service <name>', 'Service to which it belongs')
  .option('--domain <id>', 'Failure domain')
  .option('--platform <url>', 'Platform at which it is registered')
  .action(async (options: UpstreamOptions) => {
    const service = new StandinService({ id: options.id as UpstreamId, clock });
    await registerUpstream(options, 'service', await listen(createServiceServer(service)));
  });
cli
  .command(
    'list-entry <id> <domain> <port>',
    'Add an entry instance to the instance list of the platform',
  )
  .option('--platform <url>', 'The platform')
  .option('--fleet-port <port>', 'Port for the links of other instances')
  .option('--operators-port <port>', 'Port for operators')
  .option('--environment <name>', 'Its environment')
  .action(async (id: string, domain: string, port: string, options: EntryOptions) => {
    const { fleetPort, operatorsPort, environment } = options;
    await register(options.platform, {
      id: id as InstanceId,
      role: 'entry',
      url: `http://127.0.0.1:${port}`,
      ...(fleetPort === undefined ? {} : { fleetUrl: `ws://127.0.0.1:${fleetPort}` }),
      ...(operatorsPort === undefined ? {} : { operatorsUrl: `http://127.0.0.1:${operatorsPort}` }),
      ...(environment === undefined ? {} : { environment }),
      failureDomain: domain as FailureDomainId,
      state: 'live',
    });
  });
cli
  .command('load', 'Send the demonstration load and check the ledger')
  .option('--platform <url>', 'The platform')
  .option('--duration-ms <ms>', 'How long to send requests', { default: 8_000 })
  .action(async (options: { platform: string; durationMs: number }) => {
    const isConsistent = await runDemoLoad(options.platform, options.durationMs);
    process.exit(isConsistent ? 0 : 1);
  });
cli.help();
cli.parse(process.argv, { run: false });
if (cli.matchedCommand === undefined) {
  if (cli.options.help !== true) cli.outputHelp();
} else {
  await (cli.runMatchedCommand() as Promise<void>);
}
