/** One observation: what was measured, and what it is explained by. */
export interface Sample {
  readonly value: number;
  /** One figure for each coefficient. */
  readonly factors: readonly number[];
}

/** What a fit goes by. */
export interface FitOptions {
  /**
   * The weight of samples above the fit, from 0 to 1; those below have the rest. Under a half, the fit
   * follows the lower samples, so that delays of other causes count little.
   */
  readonly aboveWeight: number;
  /** The coefficients before anything was seen. */
  readonly prior: readonly number[];
  /** How many samples the prior counts for, for each coefficient at a factor of 1. */
  readonly priorWeight: number;
}

/** Passes over the samples: their weights change little after a few. */
const passes = 8;

/**
 * Fits coefficients to samples by asymmetric least squares.
 *
 * @param samples - the observations
 * @param options - weights and prior
 * @returns the coefficients, none of them negative
 *
 * @example
 * fitExpectile(samples, { aboveWeight: 0.1, prior: [1, 0], priorWeight: 1 });
 */
export function fitExpectile(samples: readonly Sample[], options: FitOptions): number[] {
  let coefficients = [...options.prior];
  for (let pass = 0; pass < passes; pass += 1) {
    coefficients = fitOnce(samples, coefficients, options);
  }
  return coefficients;
}

function fitOnce(
  samples: readonly Sample[],
  before: readonly number[],
  { aboveWeight, prior, priorWeight }: FitOptions,
): number[] {
  const size = prior.length;
  const rows = prior.map((coefficient, at) => {
    const row = new Array<number>(size + 1).fill(0);
    row[at] = priorWeight;
    row[size] = priorWeight * coefficient;
    return row;
  });
  for (const { value, factors } of samples) {
    const weight = value > dot(before, factors) ? aboveWeight : 1 - aboveWeight;
    rows.forEach((row, at) => {
      const own = weight * (factors[at] ?? 0);
      factors.forEach((factor, to) => (row[to] = (row[to] ?? 0) + own * factor));
      row[size] = (row[size] ?? 0) + own * value;
    });
  }
  return solve(rows).map((coefficient) => Math.max(0, coefficient));
}

function dot(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, figure, at) => sum + figure * (right[at] ?? 0), 0);
}

/** Solves a system whose matrix is symmetric and, by its prior, not singular. */
function solve(rows: number[][]): number[] {
  const size = rows.length;
  rows.forEach((pivotRow, pivot) => {
    const head = pivotRow[pivot] ?? 1;
    rows.forEach((row, at) => {
      if (at === pivot) return;
      const share = (row[pivot] ?? 0) / head;
      for (let to = pivot; to <= size; to += 1) {
        row[to] = (row[to] ?? 0) - share * (pivotRow[to] ?? 0);
      }
    });
  });
  return rows.map((row, at) => (row[size] ?? 0) / (row[at] ?? 1));
}
