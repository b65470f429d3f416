import test from 'ava';
import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parseScenario } from '../parseScenario/index.js';
import { runScenario } from './index.js';

const folder = new URL('../../../../../scenarios/', import.meta.url);

// Each file in scenarios/ describes in its `story` field which failure it tests.
for (const name of readdirSync(fileURLToPath(folder)).filter((file) => file.endsWith('.yaml'))) {
  const scenario = parseScenario(readFileSync(new URL(name, folder), 'utf8'), name);
  test(`${name}: ${scenario.name}`, async (t) => {
    const { faults } = await runScenario(scenario);
    t.deepEqual(faults, []);
  });
}
