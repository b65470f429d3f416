/**
 * Median of several measurements.
 */

/** The median, or the upper median of an even number of values; 0 if there are no values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
