/** One result row: a flat object whose field names include units. */
export type ResultRow = Readonly<Record<string, string | number | boolean | null>>;

/** Options of {@link printTable}. */
export interface PrintTableOptions {
  /** Print one JSON array and nothing else. */
  isJson?: boolean;
}

/**
 * Prints rows as a text table or as JSON.
 *
 * @param rows - the rows to print; the columns are the fields of the first row
 * @param options - the output format
 *
 * @example
 * printTable([{ case: 'calm', overspendTokens: 0 }]);
 */
export function printTable(rows: readonly ResultRow[], options: PrintTableOptions = {}): void {
  process.stdout.write(`${options.isJson === true ? JSON.stringify(rows) : formatTable(rows)}\n`);
}

/**
 * Formats rows as text with aligned columns.
 *
 * @param rows - the rows to format; the columns are the fields of the first row
 * @returns a heading line, then one line for each row
 *
 * @example
 * formatTable([{ a: 1 }]);
 * //=> 'a\n1'
 */
export function formatTable(rows: readonly ResultRow[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((row) => row[index]?.length ?? 0)),
  );
  return cells
    .map((row) =>
      row
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
