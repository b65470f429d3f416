import type { InstanceStatus, MemberStatus } from '../describeInstance/index.js';

/** Options of {@link formatStatusPage}. */
export interface FormatStatusPageOptions {
  /** Current time, in milliseconds since the Unix epoch. */
  nowMs: number;
}

/**
 * Formats the status of an instance as an HTML page: the configuration in force, the other instances,
 * and what is unknown.
 *
 * @param status - status of this instance
 * @param options - the current time
 * @returns HTML without scripts; all values are escaped
 *
 * @example
 * response.end(formatStatusPage(status, { nowMs: clock.wallMs() }));
 */
export function formatStatusPage(
  status: InstanceStatus,
  { nowMs }: FormatStatusPageOptions,
): string {
  const formatAge = (sinceMs: number) =>
    `${Math.max(0, Math.round((nowMs - sinceMs) / 1_000))} s ago`;
  const members = status.members.map((member) => memberRow(member, formatAge(member.sinceMs)));
  const upstreams = status.upstreams.map(({ id, service, state, inFlightRequests }) =>
    row([id, service, state, String(inFlightRequests)]),
  );
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(status.instanceId)}</title><style>${style}</style></head><body>`,
    `<h1>Instance ${escapeHtml(status.instanceId)}</h1>`,
    `<p>${escapeHtml(workText(status))}</p>`,
    `<p>${escapeHtml(configurationText(status, formatAge))}</p>`,
    problemText(status),
    `<h2>Other instances, as seen from here</h2>`,
    `<p>${escapeHtml(unknownText(status.members))}</p>`,
    table(['instance', 'state', 'since', 'failure domain', 'listed', 'configuration'], members),
    '<h2>Upstreams</h2>',
    table(['upstream', 'service', 'state', 'requests from here'], upstreams),
    '<p>Metrics: <a href="/metrics">/metrics</a>. This page as JSON: <a href="/status">/status</a>.</p>',
    '</body></html>',
  ].join('\n');
}

const style =
  'body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{text-align:left;padding:0 1em}';

const phaseTexts = {
  running: 'Takes new requests.',
  announced: 'Is leaving: still takes requests of callers that were told to come here.',
  refusing: 'Is leaving: refuses new requests and finishes those under way.',
  ended: 'Has left.',
} as const;

function workText({ stopPhase, isAccepting, openRequests }: InstanceStatus): string {
  const work = `${openRequests} requests are under way.`;
  if (stopPhase === 'running' && !isAccepting) {
    return `Takes no requests: it has no configuration yet. ${work}`;
  }
  return `${phaseTexts[stopPhase]} ${work}`;
}

function configurationText(
  { configuration }: InstanceStatus,
  formatAge: (sinceMs: number) => string,
): string {
  if (configuration === null) return 'Configuration: none is in force here.';
  const { version, digest, sinceMs } = configuration;
  return `Configuration: version ${version} (digest ${digest.slice(0, 12)}) is in force here since ${formatAge(sinceMs)}.`;
}

function problemText({ configurationProblem }: InstanceStatus): string {
  if (configurationProblem === null) return '';
  return `<p><strong>${escapeHtml(`Not taken up: ${configurationProblem.message}`)}</strong></p>`;
}

/** States what is unknown, so that missing information is never mistaken for a good status. */
function unknownText(members: readonly MemberStatus[]): string {
  const unreachableCount = members.filter(
    ({ state }) => state === 'dead' || state === 'suspect',
  ).length;
  const neverSeenCount = members.filter(({ state }) => state === 'listed').length;
  const unknown = members.filter(({ configurationVersion }) => configurationVersion === null);
  return [
    `${members.length} are known.`,
    `${unreachableCount} cannot be reached: whether they run, and with which configuration, is unknown.`,
    `${neverSeenCount} are on the platform's list but have never sent a message to this instance.`,
    `The configuration of ${unknown.length} is unknown here; see their own status pages.`,
  ].join(' ');
}

function memberRow(member: MemberStatus, since: string): string {
  return row([
    member.id,
    member.state,
    since,
    member.failureDomain,
    member.isListed ? 'yes' : 'no',
    versionText(member.configurationVersion),
  ]);
}

function versionText(version: number | null): string {
  if (version === null) return 'unknown';
  return version === 0 ? 'none yet' : `version ${version}`;
}

function table(headings: readonly string[], rows: readonly string[]): string {
  const head = headings.map((heading) => `<th>${escapeHtml(heading)}</th>`).join('');
  return `<table><tr>${head}</tr>${rows.join('')}</table>`;
}

function row(cells: readonly string[]): string {
  return `<tr>${cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;')
    .replaceAll("'", '&#39;');
}
