/**
 * Whether a value is nested more deeply than a limit.
 *
 * Guards against values from outside that end whoever encodes or copies them: JSON text is parsed at any depth, and
 * most that is done with the value afterwards is recursive.
 *
 * @param value - as parsed from JSON
 * @param maxDepth - number of arrays and objects that may lie within each other
 *
 * @example
 * isDeeperThan([[1]], 1);
 * //=> true
 */
export function isDeeperThan(value: unknown, maxDepth: number): boolean {
  if (!isNested(value)) return false;
  if (maxDepth <= 0) return true;
  for (const part of Object.values(value)) if (isDeeperThan(part, maxDepth - 1)) return true;
  return false;
}

function isNested(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}
