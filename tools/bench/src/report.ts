/** One row of a report. */
export type Row = Readonly<Record<string, string | number>>

/** Prints the rows as a table, followed by the whole report as one JSON line. */
export function printReport (bench: string, rows: readonly Row[], metadata: Readonly<Record<string, unknown>> = {}): void {
  printTable(rows)
  console.log(JSON.stringify({ bench, at: new Date().toISOString(), ...metadata, rows }))
}

export function printTable (rows: readonly Row[]): void {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))]
  const cells = [columns, ...rows.map((row) => columns.map((column) => formatCell(row[column])))]
  const widths = columns.map((_, i) => Math.max(...cells.map((row) => row[i]?.length ?? 0)))
  for (const row of cells) console.log(row.map((cell, column) => column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  '))
  console.log('')
}

/** Computes the quantile of the samples at `share`, between 0 and 1; 0 without samples. */
export function computeQuantile (samples: readonly number[], share: number): number {
  if (samples.length === 0) return 0
  const sorted = samples.toSorted((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] as number
}

export function roundTo (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}

function formatCell (value: string | number | undefined): string {
  if (value === undefined) return ''
  return typeof value === 'number' ? String(roundTo(value, Math.abs(value) < 10 ? 3 : 1)) : value
}
