/** The record of a run: what was sent, answered and run. */
import { writeFileSync } from 'node:fs';

/** Collects lines with the time since its start, and writes them to a file. */
export class Record {
  #lines = [];
  #startMs = performance.now();
  #path;

  constructor(path) {
    this.#path = path;
  }

  add(text) {
    const seconds = ((performance.now() - this.#startMs) / 1_000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} s  ${text}`);
  }

  write() {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}

/** Exit codes of a script: the rule held, was broken, or the case could not run. */
export const exitCodes = { held: 0, broken: 1, notRun: 2 };

/**
 * Runs a case and exits.
 *
 * @param folder - URL of the case's folder
 * @param play - plays the case, records it, and returns a line for each time that the rule was broken
 */
export async function runCase(folder, play) {
  const record = new Record(new URL('record.txt', folder));
  const hasTrouble = process.env.TROUBLE !== '0';
  const limit = setTimeout(() => {
    process.stderr.write('the case took too long\n');
    process.exit(exitCodes.notRun);
  }, 115_000);
  let code;
  try {
    const broken = await play({ record, hasTrouble });
    for (const line of broken) record.add(`BROKEN  ${line}`);
    record.add(`broken ${broken.length} times${hasTrouble ? '' : ', without the disruption'}`);
    code = broken.length > 0 ? exitCodes.broken : exitCodes.held;
    process.stdout.write(`${broken.length > 0 ? 'broken' : 'held'}: ${broken.length} times\n`);
    for (const line of broken.slice(0, 5)) process.stdout.write(`  ${line}\n`);
  } catch (thrown) {
    record.add(`could not run: ${thrown.stack}`);
    process.stderr.write(`could not run: ${thrown.stack}\n`);
    code = exitCodes.notRun;
  }
  clearTimeout(limit);
  record.write();
  process.exit(code);
}
