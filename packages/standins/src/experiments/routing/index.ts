/**
 * Compares upstream selection policies under load with injected faults, in virtual time.
 */
import type { RunOptions } from '../../_lib/runModuleByName/index.js';
import type { ResultRow } from '../../printTable/index.js';
import { comparedPolicies } from './_lib/policies/index.js';
import { cellCases, runCell } from './_lib/runCell/index.js';

const loadFactors = [0.5, 0.8, 1, 1.3, 2];
const defaultDurationMs = 10_000;

/**
 * Runs all combinations of policy, fault case and load factor. `--policy`, `--case` and `--load`
 * restrict them, each with a comma-separated list; `--duration-ms` sets the arrival period.
 *
 * @param options - seed and flags
 * @returns one row for each policy, case, load and class
 */
export async function run(options: RunOptions): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  const { policy: policyName, case: caseName, load, durationMs } = options.flags;
  const matchesFilter = (filter: unknown, value: string | number) =>
    filter === undefined || String(filter).split(',').includes(String(value));
  for (const policy of comparedPolicies.filter(({ name }) => matchesFilter(policyName, name))) {
    for (const cellCase of cellCases.filter((name) => matchesFilter(caseName, name))) {
      for (const loadFactor of loadFactors.filter((factor) => matchesFilter(load, factor))) {
        const cell = {
          policy,
          case: cellCase,
          loadFactor,
          seed: options.seed,
          durationMs: Number(durationMs ?? defaultDurationMs),
        };
        rows.push(...(await runCell(cell)));
      }
    }
  }
  return rows;
}
