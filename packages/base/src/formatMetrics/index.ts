import { millisecondsInSecond } from '../constants/index.js';
import type { HistogramSummary, Metrics } from '../Metrics/index.js';

/** A value that is read at the time of the scrape. */
export interface Gauge {
  readonly name: string;
  readonly labels?: Readonly<Record<string, string>>;
  readonly value: number;
}

const metricPrefix = 'acaciacrank_';
const quantiles = [
  ['0.5', 'p50'],
  ['0.95', 'p95'],
  ['0.99', 'p99'],
] as const;

/**
 * Formats metrics in the Prometheus text format, counters first.
 *
 * Names are in snake case with base units: counter names end in `_total`, and values recorded in
 * milliseconds are converted to seconds. A series `account/class` becomes two labels; any other
 * series, including the overflow series, becomes the label `series`.
 *
 * @param metrics - counters and histograms
 * @param gauges - current values
 * @returns one line per sample, with a `# TYPE` line before each metric
 *
 * @example
 * metrics.count('requests', 'one/shift');
 * formatMetrics(metrics, []);
 * //=> '# TYPE acaciacrank_requests_total counter\nacaciacrank_requests_total{account="one",class="shift"} 1\n'
 */
export function formatMetrics(metrics: Metrics, gauges: readonly Gauge[]): string {
  const counters = metrics.counters().map(({ metric, series, value }) => ({
    name: `${metricPrefix}${toSnakeCase(metric)}_total`,
    line: formatSample(
      `${metricPrefix}${toSnakeCase(metric)}_total`,
      parseSeriesLabels(series),
      value,
    ),
  }));
  const gaugeLines = gauges.map(({ name, labels = {}, value }) => ({
    name: `${metricPrefix}${name}`,
    line: formatSample(`${metricPrefix}${name}`, labels, value),
  }));
  const summaries = metrics
    .summaries()
    .sort((a, b) => compareText(a.metric, b.metric) || compareText(a.series, b.series))
    .flatMap(formatSummary);
  const lines = [
    ...addTypeLines(counters, 'counter'),
    ...addTypeLines(gaugeLines, 'gauge'),
    ...addTypeLines(summaries, 'summary'),
  ];
  return `${lines.join('\n')}\n`;
}

interface SampleLine {
  readonly name: string;
  readonly line: string;
}

function formatSummary(summary: HistogramSummary): SampleLine[] {
  const isDuration = summary.metric.endsWith('Ms');
  const base = isDuration ? `${summary.metric.slice(0, -2)}Seconds` : summary.metric;
  const name = `${metricPrefix}${toSnakeCase(base)}`;
  const scale = isDuration ? millisecondsInSecond : 1;
  const labels = parseSeriesLabels(summary.series);
  const lines = quantiles.map(([quantile, field]) =>
    formatSample(name, { ...labels, quantile }, summary[field] / scale),
  );
  lines.push(formatSample(`${name}_sum`, labels, summary.sum / scale));
  lines.push(formatSample(`${name}_count`, labels, summary.count));
  return lines.map((line) => ({ name, line }));
}

/** Inserts a `# TYPE` line before the first sample of each name; expects samples grouped by name. */
function addTypeLines(lines: readonly SampleLine[], type: string): string[] {
  let previousName = '';
  return lines.flatMap(({ name, line }) => {
    if (name === previousName) return [line];
    previousName = name;
    return [`# TYPE ${name} ${type}`, line];
  });
}

function formatSample(
  name: string,
  labels: Readonly<Record<string, string>>,
  value: number,
): string {
  const pairs = Object.entries(labels).map(([label, text]) => `${label}="${escapeLabel(text)}"`);
  return `${name}${pairs.length === 0 ? '' : `{${pairs.join(',')}}`} ${value}`;
}

function parseSeriesLabels(series: string): Record<string, string> {
  if (series === '') return {};
  const [account, className, ...rest] = series.split('/');
  const isAccountAndClass = account !== undefined && className !== undefined && rest.length === 0;
  return isAccountAndClass ? { account, class: className } : { series };
}

function escapeLabel(text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function toSnakeCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
