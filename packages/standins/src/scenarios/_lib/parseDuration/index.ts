/**
 * Durations in scenario files, such as `200ms`, `5s` or `10min`.
 */
import { millisecondsInMinute, millisecondsInSecond } from '@acaciacrank/base';

const unitMs = { ms: 1, s: millisecondsInSecond, min: millisecondsInMinute } as const;

/** Format of a duration. */
export const durationPattern = /^(\d+)(ms|s|min)$/;

/** Converts a duration that matches {@link durationPattern} to milliseconds. */
export function parseDuration(text: string): number {
  const [, count, unit] = durationPattern.exec(text) ?? [];
  return Number(count) * unitMs[unit as keyof typeof unitMs];
}
