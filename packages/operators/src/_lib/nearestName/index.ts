/**
 * Finds the valid name that a mistyped one was probably meant to be.
 *
 * @param mistyped - the name as written
 * @param names - the valid names
 * @returns the name with the smallest edit distance; undefined if none is close enough
 */
export function nearestName(mistyped: string, names: readonly string[]): string | undefined {
  const scored = names.map((name) => ({
    name,
    edits: editDistance(normalizeName(mistyped), normalizeName(name)),
  }));
  const [best] = scored.sort((a, b) => a.edits - b.edits);
  const maxEdits = Math.max(2, Math.floor(mistyped.length / 3));
  return best !== undefined && best.edits <= maxEdits ? best.name : undefined;
}

function normalizeName(name: string): string {
  return name.toLowerCase().replaceAll(/[-_]/g, '');
}

/** The Levenshtein distance: number of characters to insert, delete or replace. */
function editDistance(from: string, to: string): number {
  let row = Array.from({ length: to.length + 1 }, (_, index) => index);
  for (let at = 1; at <= from.length; at += 1) {
    const next = [at];
    for (let column = 1; column <= to.length; column += 1) {
      const substitution = (row[column - 1] ?? 0) + (from[at - 1] === to[column - 1] ? 0 : 1);
      next.push(Math.min(substitution, (row[column] ?? 0) + 1, (next[column - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[to.length] ?? 0;
}
