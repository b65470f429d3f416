/** One observation: a measured value and the factors that explain it. */
export interface Sample {
  readonly value: number;
  /** One number for each coefficient. */
  readonly factors: readonly number[];
}

/** Options of {@link fitExpectile}. */
export interface FitExpectileOptions {
  /**
   * Weight of samples above the fit, from 0 to 1; samples below it have the complement. Below a half,
   * the fit follows the lower samples, so that delays with other causes have little influence.
   */
  readonly aboveWeight: number;
  /** Coefficients to assume without samples. */
  readonly prior: readonly number[];
  /** Number of samples with a factor of 1 that the prior is equivalent to, for each coefficient. */
  readonly priorWeight: number;
}

/** Number of reweighting iterations; the weights of the samples change little after a few. */
const iterationCount = 8;

/**
 * Fits coefficients to samples by asymmetric least squares (expectile regression).
 *
 * @param samples - the observations
 * @param options - weights and prior
 * @returns the coefficients, clamped to be non-negative
 *
 * @example
 * fitExpectile(samples, { aboveWeight: 0.1, prior: [1, 0], priorWeight: 1 });
 */
export function fitExpectile(samples: readonly Sample[], options: FitExpectileOptions): number[] {
  let coefficients = [...options.prior];
  for (let iteration = 0; iteration < iterationCount; iteration += 1) {
    coefficients = fitOnce(samples, coefficients, options);
  }
  return coefficients;
}

function fitOnce(
  samples: readonly Sample[],
  previous: readonly number[],
  { aboveWeight, prior, priorWeight }: FitExpectileOptions,
): number[] {
  const size = prior.length;
  const rows = prior.map((coefficient, rowIndex) => {
    const row = new Array<number>(size + 1).fill(0);
    row[rowIndex] = priorWeight;
    row[size] = priorWeight * coefficient;
    return row;
  });
  for (const { value, factors } of samples) {
    const weight = value > dotProduct(previous, factors) ? aboveWeight : 1 - aboveWeight;
    rows.forEach((row, rowIndex) => {
      const weightedFactor = weight * (factors[rowIndex] ?? 0);
      factors.forEach(
        (factor, columnIndex) =>
          (row[columnIndex] = (row[columnIndex] ?? 0) + weightedFactor * factor),
      );
      row[size] = (row[size] ?? 0) + weightedFactor * value;
    });
  }
  return solve(rows).map((coefficient) => Math.max(0, coefficient));
}

function dotProduct(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, element, index) => sum + element * (right[index] ?? 0), 0);
}

/**
 * Solves a linear system by Gauss-Jordan elimination without pivoting. The matrix is symmetric, and the
 * prior keeps it from being singular.
 */
function solve(rows: number[][]): number[] {
  const size = rows.length;
  rows.forEach((pivotRow, pivotIndex) => {
    const pivotValue = pivotRow[pivotIndex] ?? 1;
    rows.forEach((row, rowIndex) => {
      if (rowIndex === pivotIndex) return;
      const multiplier = (row[pivotIndex] ?? 0) / pivotValue;
      for (let columnIndex = pivotIndex; columnIndex <= size; columnIndex += 1) {
        row[columnIndex] = (row[columnIndex] ?? 0) - multiplier * (pivotRow[columnIndex] ?? 0);
      }
    });
  });
  return rows.map((row, rowIndex) => (row[size] ?? 0) / (row[rowIndex] ?? 1));
}
