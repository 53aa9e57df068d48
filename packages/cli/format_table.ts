/** Renders rows as lines, with the cells of each column padded to one width. */
export function formatTable(rows: string[][]): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  ).join("\n");
}
