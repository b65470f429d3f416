/** Formats a timestamp in UTC, to the second, for example `2026-03-01 08:15:00 UTC`. */
export function formatTime(atMs: number): string {
  return `${new Date(atMs).toISOString().slice(0, 19).replace('T', ' ')} UTC`;
}
