#!/usr/bin/env node
/**
 * `acaciacrankctl`, the command-line tool for operators.
 */
import { toRouterError, RouterError } from '@acaciacrank/base';
import { cac } from 'cac';
import { createContext, environmentVariables, type ContextOptions } from './createContext/index.js';
import { exitCodeHelp, exitCodeOf, exitCodes } from './exitCodes/index.js';
import { runBudget } from './runBudget/index.js';
import { runCheck } from './runCheck/index.js';
import { runDiff } from './runDiff/index.js';
import { runDrain } from './runDrain/index.js';
import { runExplain } from './runExplain/index.js';
import { runPromote } from './runPromote/index.js';
import { runRollback } from './runRollback/index.js';
import { runStatus } from './runStatus/index.js';
import { runTopUp } from './runTopUp/index.js';
import { runTry } from './runTry/index.js';
import type { CommandResult } from './types.js';

interface Options extends ContextOptions {
  readonly json?: boolean;
  readonly environment?: string;
  readonly expectVersion?: number;
  readonly to?: number;
  readonly id?: string | number;
}

function printResult(options: Options, result: CommandResult): void {
  const text = options.json === true ? JSON.stringify(result.data) : result.text;
  process.stdout.write(`${text}\n`);
  if (!result.isCertain) process.exitCode = exitCodes.incomplete;
}

function requireEnvironment({ environment }: Options): string {
  if (environment !== undefined) return String(environment);
  throw new RouterError('badRequest', '--environment NAME is missing, for example kapiti');
}

function parseWholeNumber(value: unknown, name: string): number | undefined {
  if (value === undefined) return undefined;
  const number = Number(value);
  if (Number.isSafeInteger(number) && number >= 0) return number;
  throw new RouterError('badRequest', `${name} takes a whole number, not ${String(value)}`);
}

function createCommandContext(options: Options) {
  return createContext({ ...options, waitMs: parseWholeNumber(options.waitMs, '--wait-ms') });
}

function parseExpectedVersion(options: Options) {
  return { expectedVersion: parseWholeNumber(options.expectVersion, '--expect-version') };
}

function createCli() {
  const cli = cac('acaciacrankctl');
  cli.option('--json', 'Print one JSON object');
  cli.option(
    '--platform <url>',
    `http://IP:PORT of the platform, or ${environmentVariables.platform}`,
  );
  cli.option(
    '--key-file <file>',
    `File with the operators' key, or ${environmentVariables.operatorsKey}`,
  );
  cli.option('--wait-ms <ms>', 'How long to wait until instances act on a change (default: 10000)');
  cli
    .command('check <file>', 'Check a document; changes nothing')
    .action((file: string, options: Options) => {
      printResult(options, runCheck(file));
    });
  cli
    .command('diff <file>', 'Show what a document would change in production; changes nothing')
    .action(async (file: string, options: Options) => {
      printResult(options, await runDiff(createCommandContext(options), file));
    });
  cli
    .command('try <file>', 'Put a document in force in the trial environment')
    .option('--expect-version <n>', 'Refuse when trial has another version')
    .action(async (file: string, options: Options) => {
      printResult(
        options,
        await runTry(createCommandContext(options), file, parseExpectedVersion(options)),
      );
    });
  cli
    .command(
      'promote <file>',
      'Put a document in force in production after trial has run the same bytes',
    )
    .option('--expect-version <n>', 'Refuse when production has another version')
    .action(async (file: string, options: Options) => {
      printResult(
        options,
        await runPromote(createCommandContext(options), file, parseExpectedVersion(options)),
      );
    });
  cli
    .command('rollback', 'Put an earlier version in force again, as a new version')
    .option('--environment <name>', 'The environment, for example kapiti or kapiti.trial')
    .option('--to <version>', 'The version to go back to; the previous one by default')
    .action(async (options: Options) => {
      const environment = requireEnvironment(options);
      printResult(
        options,
        await runRollback(
          createCommandContext(options),
          environment,
          parseWholeNumber(options.to, '--to'),
        ),
      );
    });
  cli
    .command('status', 'Show the accepted version, which instances act on it, and the budgets')
    .option('--environment <name>', 'The environment')
    .action(async (options: Options) => {
      const environment = requireEnvironment(options);
      printResult(options, await runStatus(createCommandContext(options), environment));
    });
  cli
    .command('budget <budget>', 'Show one budget')
    .option('--environment <name>', 'The environment')
    .action(async (budget: string, options: Options) => {
      const environment = requireEnvironment(options);
      printResult(options, await runBudget(createCommandContext(options), environment, budget));
    });
  cli
    .command('top-up <budget> <tokens>', 'Add prepaid tokens to a budget')
    .option('--environment <name>', 'The environment')
    .option('--id <id>', 'Identifies this top-up; repeating it with the same id changes nothing')
    .action(async (budgetId: string, amount: string, options: Options) => {
      const environment = requireEnvironment(options);
      if (options.id === undefined) throw new RouterError('badRequest', '--id ID is missing');
      const topUpId = String(options.id);
      const tokens = parseWholeNumber(amount, 'TOKENS') ?? 0;
      const context = createCommandContext(options);
      printResult(options, await runTopUp(context, { environment, budgetId, topUpId, tokens }));
    });
  cli
    .command('drain <instance>', 'Begin a planned stop of one instance')
    .option('--environment <name>', 'The environment')
    .action(async (instance: string, options: Options) => {
      const environment = requireEnvironment(options);
      printResult(options, await runDrain(createCommandContext(options), environment, instance));
    });
  cli
    .command('explain <kind>', 'Explain what an error kind means and what to do')
    .action((kind: string, options: Options) => {
      printResult(options, runExplain(kind));
    });
  cli.help((sections) => [
    ...sections,
    { title: 'Exit codes', body: `  ${exitCodeHelp.join('\n  ')}` },
  ]);
  cli.version('0.1.0');
  return cli;
}

async function main(): Promise<void> {
  const cli = createCli();
  cli.parse(process.argv, { run: false });
  if (cli.options.help === true || cli.options.version === true) return;
  if (cli.matchedCommand === undefined) {
    throw new RouterError('badRequest', 'there is no such command; see acaciacrankctl --help');
  }
  await (cli.runMatchedCommand() as Promise<void> | undefined);
}

function exitWithError(thrown: unknown): never {
  const isUsageError = thrown instanceof Error && thrown.name === 'CACError';
  const error = isUsageError
    ? new RouterError('badRequest', thrown.message)
    : toRouterError(thrown);
  const { kind, message, ran } = error;
  if (process.argv.includes('--json')) {
    process.stdout.write(`${JSON.stringify({ error: { kind, message, ran } })}\n`);
  }
  const next =
    ran === 'unknown'
      ? 'Next: acaciacrankctl status; repeating the same command is safe.'
      : `Nothing was changed.\nNext: ${error.remedy}`;
  process.stderr.write(`acaciacrankctl: ${kind}: ${message}\n${next}\n`);
  process.exit(exitCodeOf(error));
}

main().then(() => process.exit(), exitWithError);
