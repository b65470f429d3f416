#!/usr/bin/env node
/**
 * The soak's command line: runs seeds one after the other and says which promises did not hold.
 */
import { cac } from 'cac';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { runSoak } from './runSoak/index.js';

/** Milliseconds in a minute. */
const millisecondsInMinute = 60_000;

async function main(): Promise<void> {
  const cli = cac('soak');
  cli.option('--seed <number>', 'First seed', { default: 1 });
  cli.option('--seeds <count>', 'How many seeds in a row', { default: 1 });
  cli.option('--minutes <minutes>', 'How long each seed runs', { default: 0.5 });
  cli.option('--instances <count>', 'How many instances', { default: 4 });
  cli.option('--rate <number>', 'Requests in a second', { default: 60 });
  cli.option('--json', 'One object for each seed');
  cli.help();
  const { options } = cli.parse();
  if (options.help === true) return;
  const first = Number(options.seed);
  const minutes = Number(options.minutes);
  for (let seed = first; seed < first + Number(options.seeds); seed += 1) {
    const directory = join('.run', 'soak', String(seed));
    const instances = Number(options.instances);
    const report = await runSoak({
      seed,
      instances,
      directory,
      durationMs: minutes * millisecondsInMinute,
      requestsPerSecond: Number(options.rate),
    });
    const { requests, served, refused, failed, faults, violations } = report;
    const injected = Object.values(faults).reduce((sum, count) => sum + count, 0);
    if (options.json === true) process.stdout.write(`${JSON.stringify(report)}\n`);
    else {
      process.stdout.write(
        `seed ${seed}: ${requests} requests, ${served} served, ${refused} refused, ` +
          `${failed} failed, ${injected} faults, ${violations.length} violations\n`,
      );
    }
    if (violations.length === 0) {
      rmSync(directory, { recursive: true, force: true });
      continue;
    }
    process.exitCode = 1;
    for (const { promise, atMs, what } of violations.slice(0, 10)) {
      process.stdout.write(`  ${promise} at ${atMs} ms: ${what}\n`);
    }
    process.stdout.write(
      `  again: npm run soak -- --seed ${seed} --minutes ${minutes} --instances ${instances} ` +
        `--rate ${options.rate}; logs: ${directory}\n`,
    );
  }
}

main().catch((thrown: unknown) => {
  process.stderr.write(`soak: ${String(thrown)}\n`);
  process.exitCode = 2;
});
