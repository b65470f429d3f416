import type { Acceptance } from '@acaciacrank/operators';
import { formatTime } from '../formatTime/index.js';

/** Says what came of an acceptance, first line first. */
export function describeAcceptance(environment: string, acceptance: Acceptance): string[] {
  const { outcome, accepted, manifest, isConfirmedByRead: isFoundOut } = acceptance;
  const { version, digest, acceptedAtMs } = accepted;
  const bytes = `digest ${digest.slice(0, 12)}`;
  const lines = [
    outcome === 'unchanged'
      ? `Nothing was changed: version ${version} of ${environment} has these bytes already (${bytes}), since ${formatTime(acceptedAtMs)}.`
      : `Version ${version} of ${environment} is accepted (${bytes}).`,
  ];
  if (isFoundOut) lines.push("The store's answer was lost; reading again showed that it is so.");
  if (manifest.version !== version) {
    lines.push(`Since then somebody else put version ${manifest.version} in force.`);
  }
  return lines;
}
