#!/usr/bin/env node
/**
 * `acaciacrank`: runs one instance.
 */
import { toRouterError, readSettings } from '@acaciacrank/base';
import { cac } from 'cac';
import { instanceSettingsSchema } from './instanceSettings/index.js';
import { runInstance } from './runInstance/index.js';

/** Exit codes of the program. */
const exitCodes = { ok: 0, failed: 1, badUsage: 2 } as const;

async function main(): Promise<void> {
  const cli = cac('acaciacrank');
  cli.option('--settings <file>', 'Settings file of this instance (YAML)');
  cli.help();
  cli.version('0.1.0');
  const { options } = cli.parse();
  if (options.help === true || options.version === true) return;
  if (typeof options.settings !== 'string') {
    process.stderr.write('acaciacrank: missing --settings FILE; see acaciacrank --help\n');
    process.exitCode = exitCodes.badUsage;
    return;
  }
  const running = await runInstance(readSettings(options.settings, instanceSettingsSchema));
  let isStopping = false;
  const onSignal = () => {
    // A second signal exits immediately: the operator does not want to wait for the planned stop.
    if (isStopping) {
      running.instance.plannedStop.recordCutOff();
      process.exit(exitCodes.failed);
    }
    isStopping = true;
    running.stop().catch(() => process.exit(exitCodes.failed));
  };
  void running.stopped.then(({ cutOffRequests }) => {
    process.exit(cutOffRequests === 0 ? exitCodes.ok : exitCodes.failed);
  });
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

main().catch((thrown: unknown) => {
  const error = toRouterError(thrown);
  process.stderr.write(`acaciacrank: ${error.kind}: ${error.message}\n  ${error.remedy}\n`);
  process.exitCode = error.kind === 'badSettings' ? exitCodes.badUsage : exitCodes.failed;
});
