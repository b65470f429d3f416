/**
 * `npm run scenarios [-- FILE...]`: runs scenario files and prints the result of each. The exit code
 * is 1 if an invariant did not hold or an expectation was not met.
 */
import { cac } from 'cac';
import { readdirSync, readFileSync } from 'node:fs';
import { parseScenario } from './scenarios/parseScenario/index.js';
import { runScenario, type ScenarioResult } from './scenarios/runScenario/index.js';
import { printTable } from './printTable/index.js';

const folder = 'scenarios';

function createRow(result: ScenarioResult) {
  const refusals = Object.entries(result.refusals).map(([kind, count]) => `${kind} ${count}`);
  return {
    ...result,
    refusals: refusals.join(', ') || '-',
    faults: result.faults.join('; ') || '-',
  };
}

const cli = cac('scenarios');
cli.usage('[FILE...] [--json]');
cli.option('--json', 'Print one JSON array and nothing else');
cli.help();
const { args, options } = cli.parse();
if (options.help !== true) {
  const scenarioFiles = readdirSync(folder).filter((name) => name.endsWith('.yaml'));
  const files = args.length > 0 ? args : scenarioFiles.sort().map((name) => `${folder}/${name}`);
  const results: ScenarioResult[] = [];
  for (const file of files) {
    results.push(await runScenario(parseScenario(readFileSync(file, 'utf8'), file)));
  }
  printTable(results.map(createRow), { isJson: options.json === true });
  process.exitCode = results.every(({ faults }) => faults.length === 0) ? 0 : 1;
}
