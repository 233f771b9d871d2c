const COLUMN_GAP = '  ';

/**
 * Formats rows as a text table. Columns of numbers are right-aligned.
 *
 * @param headings - one heading for each column
 * @param rows - cells as text or numbers
 * @returns lines, each ended by a line feed; `(none)` when there are no rows
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  if (rows.length === 0) {
    return '(none)\n';
  }
  const widths = headings.map((heading, column) => Math.max(
    heading.length,
    ...rows.map((row) => String(row[column] ?? '').length),
  ));
  const isNumeric = headings.map((_, column) => rows
    .every((row) => typeof row[column] === 'number'));
  const formatLine = (cells: readonly (string | number)[]): string => cells
    .map((cell, column) => {
      const width = widths[column] ?? 0;
      return isNumeric[column] ? String(cell).padStart(width) : String(cell).padEnd(width);
    })
    .join(COLUMN_GAP)
    .trimEnd();
  return [headings, ...rows].map((row) => `${formatLine(row)}\n`).join('');
}
