import { getOrCreate } from '../getOrCreate/index.js';
import { build, type Histogram } from 'hdr-histogram-js';

/** Name of the series that collects values once a metric has its maximum number of series. */
export const overflowSeries = '(overflow)';

/** Options of {@link Metrics}. */
export interface MetricsOptions {
  /** Maximum number of series per metric; further ones share {@link overflowSeries}. */
  maxSeries?: number;
}

/** Summary of one histogram series. */
export interface HistogramSummary {
  readonly metric: string;
  readonly series: string;
  readonly count: number;
  /** The sum of the recorded values, within the histogram's precision. */
  readonly sum: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/**
 * Counters and histograms by name and series (for example client account and class).
 *
 * The number of series is bounded: with 2,300 client accounts times their classes, an instance's
 * memory would otherwise grow with each new account. Once the bound is reached, values of new
 * series are added to {@link overflowSeries}.
 */
export class Metrics {
  readonly #maxSeries: number;
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #histograms = new Map<string, Map<string, Histogram>>();

  constructor(options: MetricsOptions = {}) {
    this.#maxSeries = options.maxSeries ?? 512;
  }

  /** Increments a counter. */
  count(metric: string, series = '', by = 1): void {
    const counters = getOrCreate(this.#counters, metric, () => new Map<string, number>());
    const name = this.#limitSeries(counters, series);
    counters.set(name, (counters.get(name) ?? 0) + by);
  }

  /** Returns a counter's value; 0 if it was never incremented. */
  counter(metric: string, series = ''): number {
    return this.#counters.get(metric)?.get(series) ?? 0;
  }

  /** Records a value in a histogram, rounded to a whole number of the metric's unit. */
  record(metric: string, series: string, value: number): void {
    const histograms = getOrCreate(this.#histograms, metric, () => new Map<string, Histogram>());
    const name = this.#limitSeries(histograms, series);
    const histogram = getOrCreate(histograms, name, () =>
      build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000,
        numberOfSignificantValueDigits: 2,
      }),
    );
    histogram.recordValue(Math.min(3_600_000, Math.max(0, Math.round(value))));
  }

  /** Returns all counters, sorted by metric and series. */
  counters(): { metric: string; series: string; value: number }[] {
    return [...this.#counters]
      .flatMap(([metric, bySeries]) =>
        [...bySeries].map(([series, value]) => ({ metric, series, value })),
      )
      .sort((a, b) => a.metric.localeCompare(b.metric) || a.series.localeCompare(b.series));
  }

  /** Returns a summary of each histogram series. */
  summaries(): HistogramSummary[] {
    return [...this.#histograms].flatMap(([metric, bySeries]) =>
      [...bySeries].map(([series, histogram]) => ({
        metric,
        series,
        count: histogram.totalCount,
        sum: histogram.mean * histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
        max: histogram.maxValue,
      })),
    );
  }

  #limitSeries(existingSeries: ReadonlyMap<string, unknown>, series: string): string {
    if (existingSeries.has(series) || existingSeries.size < this.#maxSeries) return series;
    return overflowSeries;
  }
}
