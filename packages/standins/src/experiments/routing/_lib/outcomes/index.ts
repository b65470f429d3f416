/**
 * Outcomes of the requests of one run, and the result row of each class.
 */
import { millisecondsInSecond } from '@acaciacrank/base';
import type { ResultRow } from '../../../../printTable/index.js';
import type { StandinEngine } from '../../../../StandinEngine/index.js';
import {
  keyOfAttempt,
  tokensPerFrame,
  workloadClasses,
  type WorkloadClass,
  type WorkloadRequest,
} from '../workload/index.js';

/** Outcome of one request as seen by its caller. */
export interface RequestOutcome {
  readonly request: WorkloadRequest;
  readonly startedMs: number;
  /** When the caller received the first token over all attempts; undefined if it received none. */
  firstTokenMs: number | undefined;
  /** Times between frames, of the last attempt only. */
  gapsMs: number[];
  frames: number;
  endedMs: number;
  state: 'pending' | 'answered' | 'refused' | 'lost';
}

/** Columns that identify a run in each of its rows. */
export interface CellLabels {
  readonly policy: string;
  readonly isDefault: boolean;
  readonly case: string;
  readonly loadFactor: number;
  readonly seed: number;
}

/** The measurement interval, without the warm-up. */
export interface MeasuredSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Creates one result row for each class.
 *
 * @param labels - columns that identify the run
 * @param outcomes - outcomes of all requests of the run
 * @param engines - engines, whose records tell how many frames were generated
 * @param span - only requests that arrived in this interval are counted; goodput is computed from
 *   the answers that were completed in it
 */
export function createRows(
  labels: CellLabels,
  outcomes: readonly RequestOutcome[],
  engines: readonly StandinEngine[],
  span: MeasuredSpan,
): ResultRow[] {
  const engineStats = collectEngineStats(engines);
  return workloadClasses.map((workloadClass) =>
    createRow(labels, workloadClass, outcomes, engineStats, span),
  );
}

interface RequestStats {
  generatedFrames: number;
  runs: number;
  prefixHits: number;
}

function createRow(
  labels: CellLabels,
  workloadClass: WorkloadClass,
  outcomes: readonly RequestOutcome[],
  engineStats: ReadonlyMap<string, RequestStats>,
  { fromMs, untilMs }: MeasuredSpan,
): ResultRow {
  const classOutcomes = outcomes.filter(({ request }) => request.workloadClass === workloadClass);
  const measured = classOutcomes.filter(
    ({ startedMs }) => startedMs >= fromMs && startedMs < untilMs,
  );
  const answered = measured.filter(({ state }) => state === 'answered');
  const firstTokenTimesMs = answered.map(({ startedMs, firstTokenMs }) =>
    Math.round((firstTokenMs ?? Infinity) - startedMs),
  );
  const gapsMs = answered.flatMap((outcome) => outcome.gapsMs.map((gap) => gap / tokensPerFrame));
  const deliveredInSpan = classOutcomes
    .filter(({ state, endedMs }) => state === 'answered' && endedMs >= fromMs && endedMs < untilMs)
    .reduce((sum, { frames }) => sum + frames, 0);
  const stats = measured.map(({ request }) => engineStats.get(request.key) ?? emptyStats);
  const generated = stats.reduce((sum, { generatedFrames }) => sum + generatedFrames, 0);
  const delivered = answered.reduce((sum, { frames }) => sum + frames, 0);
  const runs = stats.reduce((sum, entry) => sum + entry.runs, 0);
  const hits = stats.reduce((sum, { prefixHits }) => sum + prefixHits, 0);
  return {
    policy: labels.policy,
    isDefault: labels.isDefault,
    case: labels.case,
    loadFactor: labels.loadFactor,
    class: workloadClass.className,
    seed: labels.seed,
    requests: measured.length,
    answered: answered.length,
    refused: measured.filter(({ state }) => state === 'refused').length,
    lost: measured.filter(({ state }) => state === 'lost' || state === 'pending').length,
    firstTokenP50Ms: percentile(firstTokenTimesMs, 50),
    firstTokenP95Ms: percentile(firstTokenTimesMs, 95),
    firstTokenP99Ms: percentile(firstTokenTimesMs, 99),
    firstTokenDeadlineMs: workloadClass.firstTokenDeadlineMs,
    tokenGapP95Ms: percentile(gapsMs, 95),
    goodputTokensPerSecond: Math.round(
      (deliveredInSpan * tokensPerFrame * millisecondsInSecond) / (untilMs - fromMs),
    ),
    wastedTokens: (generated - delivered) * tokensPerFrame,
    prefixHitPercent: runs === 0 ? null : Math.round((100 * hits) / runs),
  };
}

const emptyStats: RequestStats = { generatedFrames: 0, runs: 0, prefixHits: 0 };

function collectEngineStats(engines: readonly StandinEngine[]): Map<string, RequestStats> {
  const byKey = new Map<string, RequestStats>();
  for (const engine of engines) {
    for (const record of engine.records.values()) {
      const key = keyOfAttempt(record.requestId);
      const stats = byKey.get(key) ?? { ...emptyStats };
      stats.generatedFrames += record.outputTokens;
      stats.runs += record.state === 'waiting' ? 0 : 1;
      stats.prefixHits += record.prefixHit ? 1 : 0;
      byKey.set(key, stats);
    }
  }
  return byKey;
}

/** Nearest-rank percentile; null if there are no values. */
function percentile(values: readonly number[], percent: number): number | null {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.max(0, Math.ceil((percent / 100) * sorted.length) - 1);
  const value = sorted[rank];
  return value === undefined ? null : Math.round(value * 10) / 10;
}
