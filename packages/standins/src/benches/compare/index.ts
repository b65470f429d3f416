/**
 * `npm run bench -- compare --before A.json --after B.json`: prints two results of the same benchmark
 * side by side with their ratios.
 */
import { RouterError } from '@acaciacrank/base';
import { readFileSync } from 'node:fs';
import type { ResultRow } from '../../printTable/index.js';
import type { RunOptions } from '../../_lib/runModuleByName/index.js';

/**
 * Compares the two files.
 *
 * @throws RouterError `badRequest` when a flag is missing
 */
export function run({ flags }: RunOptions): Promise<readonly ResultRow[]> {
  const rows = compareResults(readRows(flags.before, '--before'), readRows(flags.after, '--after'));
  return Promise.resolve(rows);
}

/**
 * Compares two results row by row.
 *
 * @param before - rows of the earlier run
 * @param after - rows of the later run of the same benchmark
 * @returns one row for each numeric field that differs, with the ratio of after to before, or null
 *   where the earlier value is 0
 *
 * @example
 * compareResults([{ size: 12, decisionMicroseconds: 2 }], [{ size: 12, decisionMicroseconds: 3 }]);
 * //=> [{ row: 0, field: 'decisionMicroseconds', before: 2, after: 3, ratio: 1.5 }]
 */
export function compareResults(
  before: readonly ResultRow[],
  after: readonly ResultRow[],
): ResultRow[] {
  return before.flatMap((earlier, row) =>
    Object.entries(earlier).flatMap(([field, value]) => {
      const later = after[row]?.[field];
      if (typeof value !== 'number' || typeof later !== 'number' || value === later) return [];
      const ratio = value === 0 ? null : Math.round((100 * later) / value) / 100;
      return [{ row, field, before: value, after: later, ratio }];
    }),
  );
}

function readRows(path: unknown, flag: string): ResultRow[] {
  if (typeof path !== 'string') throw new RouterError('badRequest', `${flag} FILE is missing`);
  return JSON.parse(readFileSync(path, 'utf8')) as ResultRow[];
}
