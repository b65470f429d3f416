import type { Acceptance } from '@acaciacrank/operators';
import { formatTime } from '../formatTime/index.js';

/** Formats the result of accepting a document or a rollback as lines of text. */
export function describeAcceptance(environment: string, acceptance: Acceptance): string[] {
  const { outcome, accepted, manifest, isConfirmedByRead } = acceptance;
  const { version, digest, acceptedAtMs } = accepted;
  const digestLabel = `digest ${digest.slice(0, 12)}`;
  const lines = [
    outcome === 'unchanged'
      ? `Nothing was changed: version ${version} of ${environment} already has these bytes (${digestLabel}), since ${formatTime(acceptedAtMs)}.`
      : `Version ${version} of ${environment} is accepted (${digestLabel}).`,
  ];
  if (isConfirmedByRead)
    lines.push("The store's answer to the write was lost; a second read confirmed the change.");
  if (manifest.version !== version) {
    lines.push(`Since then, another change put version ${manifest.version} in force.`);
  }
  return lines;
}
