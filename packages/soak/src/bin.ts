#!/usr/bin/env node
/**
 * Command line of the soak test: runs one or more seeds in sequence and prints the violated invariants.
 */
import { cac } from 'cac';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { runSoak } from './runSoak/index.js';

const millisecondsPerMinute = 60_000;

async function main(): Promise<void> {
  const cli = cac('soak');
  cli.option('--seed <number>', 'Seed of the first run', { default: 1 });
  cli.option('--seeds <count>', 'Number of consecutive seeds to run', { default: 1 });
  cli.option('--minutes <minutes>', 'Duration of each run, in minutes', { default: 0.5 });
  cli.option('--instances <count>', 'Number of instances', { default: 4 });
  cli.option('--rate <number>', 'Requests per second', { default: 60 });
  cli.option('--restores', 'The store also comes back from older copies');
  cli.option('--json', 'Print one JSON report per seed');
  cli.help();
  const { options } = cli.parse();
  if (options.help === true) return;
  const firstSeed = Number(options.seed);
  const minutes = Number(options.minutes);
  for (let seed = firstSeed; seed < firstSeed + Number(options.seeds); seed += 1) {
    const directory = join('.run', 'soak', String(seed));
    const instances = Number(options.instances);
    const report = await runSoak({
      seed,
      instances,
      directory,
      hasRestores: options.restores === true,
      durationMs: minutes * millisecondsPerMinute,
      requestsPerSecond: Number(options.rate),
    });
    const { requests, served, refused, failed, faults, violations } = report;
    const faultCount = Object.values(faults).reduce((sum, count) => sum + count, 0);
    if (options.json === true) process.stdout.write(`${JSON.stringify(report)}\n`);
    else {
      process.stdout.write(
        `seed ${seed}: ${requests} requests, ${served} served, ${refused} refused, ` +
          `${failed} failed, ${faultCount} faults, ${violations.length} violations\n`,
      );
    }
    if (violations.length === 0) {
      rmSync(directory, { recursive: true, force: true });
      continue;
    }
    process.exitCode = 1;
    for (const { promise: invariant, atMs, what } of violations.slice(0, 10)) {
      process.stdout.write(`  ${invariant} at ${atMs} ms: ${what}\n`);
    }
    process.stdout.write(
      `  to reproduce: npm run soak -- --seed ${seed} --minutes ${minutes} --instances ${instances} ` +
        `--rate ${options.rate}${options.restores === true ? ' --restores' : ''}; logs: ${directory}\n`,
    );
  }
}

main().catch((thrown: unknown) => {
  process.stderr.write(`soak: ${String(thrown)}\n`);
  process.exitCode = 2;
});
