/**
 * The command line of the experiment and benchmark programs: runs a module by name and prints the rows
 * that it returns.
 */
import { cac } from 'cac';
import { existsSync, readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { printTable, type ResultRow } from '../../printTable/index.js';

/** Options of a run, from the command line. */
export interface RunOptions {
  /** Seed of every random choice of the run. */
  readonly seed: number;
  /** All flags of the command line, in camel case; a run may use them to limit its cases. */
  readonly flags: Readonly<Record<string, unknown>>;
}

/** The function that a module exports as `run` to be runnable by name. */
export type RunFunction = (options: RunOptions) => Promise<readonly ResultRow[]>;

/**
 * Runs the program.
 *
 * @param program - name of the program, for the help text
 * @param folder - URL of the folder that contains one folder per module
 */
export async function runModuleByName(program: string, folder: URL): Promise<void> {
  const names = existsSync(folder) ? readdirSync(fileURLToPath(folder)) : [];
  const cli = cac(program);
  cli.usage(`<name> [--seed N] [--json]\n\nNames: ${names.join(', ') || '(none)'}`);
  cli.option('--json', 'Print one JSON array and nothing else');
  cli.option('--seed <n>', 'Seed of every random choice', { default: 1 });
  cli.help();
  const { args, options } = cli.parse();
  if (options.help === true) return;
  const [name] = args;
  if (name === undefined || !names.includes(name)) {
    process.stderr.write(`${program}: name one of: ${names.join(', ') || '(none)'}\n`);
    process.exitCode = 2;
    return;
  }
  const { run } = (await import(new URL(`${name}/index.js`, folder).href)) as { run: RunFunction };
  const rows = await run({ seed: Number(options.seed), flags: options });
  printTable(rows, { isJson: options.json === true });
}
