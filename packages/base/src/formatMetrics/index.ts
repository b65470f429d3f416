import { millisecondsInSecond } from '../constants/index.js';
import type { HistogramSummary, Metrics } from '../Metrics/index.js';

/** A value that is read when metrics are asked for. */
export interface Gauge {
  readonly name: string;
  readonly labels?: Readonly<Record<string, string>>;
  readonly value: number;
}

const prefix = 'acaciacrank_';
const quantiles = [
  ['0.5', 'p50'],
  ['0.95', 'p95'],
  ['0.99', 'p99'],
] as const;

/**
 * Metrics in the text format of Prometheus, counters first.
 *
 * Names are in snake case with base units: a counter ends in `_total`, and what is recorded in
 * milliseconds is given in seconds. A series `account/class` becomes two labels; any other one, the
 * overflow series included, becomes the label `series`.
 *
 * @param metrics - counters and histograms
 * @param gauges - values of now
 * @returns one line a sample, a `# TYPE` line before each metric
 *
 * @example
 * metrics.count('requests', 'one/shift');
 * formatMetrics(metrics, []);
 * //=> '# TYPE acaciacrank_requests_total counter\nacaciacrank_requests_total{account="one",class="shift"} 1\n'
 */
export function formatMetrics(metrics: Metrics, gauges: readonly Gauge[]): string {
  const counters = metrics.counters().map(({ metric, series, value }) => ({
    name: `${prefix}${snakeCase(metric)}_total`,
    line: sample(`${prefix}${snakeCase(metric)}_total`, labelsOf(series), value),
  }));
  const gaugeLines = gauges.map(({ name, labels = {}, value }) => ({
    name: `${prefix}${name}`,
    line: sample(`${prefix}${name}`, labels, value),
  }));
  const summaries = metrics
    .summaries()
    .sort((a, b) => compare(a.metric, b.metric) || compare(a.series, b.series))
    .flatMap(summaryLines);
  const lines = [
    ...withTypes(counters, 'counter'),
    ...withTypes(gaugeLines, 'gauge'),
    ...withTypes(summaries, 'summary'),
  ];
  return `${lines.join('\n')}\n`;
}

interface Line {
  readonly name: string;
  readonly line: string;
}

function summaryLines(summary: HistogramSummary): Line[] {
  const isTime = summary.metric.endsWith('Ms');
  const base = isTime ? `${summary.metric.slice(0, -2)}Seconds` : summary.metric;
  const name = `${prefix}${snakeCase(base)}`;
  const scale = isTime ? millisecondsInSecond : 1;
  const labels = labelsOf(summary.series);
  const lines = quantiles.map(([quantile, field]) =>
    sample(name, { ...labels, quantile }, summary[field] / scale),
  );
  lines.push(sample(`${name}_sum`, labels, summary.sum / scale));
  lines.push(sample(`${name}_count`, labels, summary.count));
  return lines.map((line) => ({ name, line }));
}

/** A type line goes before the first sample of each name; samples of a name stand together. */
function withTypes(lines: readonly Line[], type: string): string[] {
  let last = '';
  return lines.flatMap(({ name, line }) => {
    if (name === last) return [line];
    last = name;
    return [`# TYPE ${name} ${type}`, line];
  });
}

function sample(name: string, labels: Readonly<Record<string, string>>, value: number): string {
  const pairs = Object.entries(labels).map(([label, text]) => `${label}="${escapeLabel(text)}"`);
  return `${name}${pairs.length === 0 ? '' : `{${pairs.join(',')}}`} ${value}`;
}

function labelsOf(series: string): Record<string, string> {
  if (series === '') return {};
  const [account, className, ...rest] = series.split('/');
  const isPair = account !== undefined && className !== undefined && rest.length === 0;
  return isPair ? { account, class: className } : { series };
}

function escapeLabel(text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function snakeCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
