/**
 * Rounding of the figures that benchmarks print.
 */

/** Rounds to two decimal places. */
export function roundHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
