import { PulleystackError } from '@pulleystack/core.errors'

/** Options of commands that print lists. */
export interface OutputOptions {
  /** Output format: json or table. */
  output?: string
}

/** Formats rows as a table, or `value` as JSON. Throws USAGE for an unknown format. */
export function formatOutput (opts: OutputOptions, value: unknown, columns: readonly string[], rows: readonly (readonly unknown[])[]): string {
  const format = opts.output ?? 'table'
  if (format === 'json') return JSON.stringify(value, null, 2)
  if (format === 'table') return formatTable(columns, rows)
  throw new PulleystackError('USAGE', `Unknown output format "${format}"`, { field: '-o', hint: 'Use json or table.' })
}

function formatTable (columns: readonly string[], rows: readonly (readonly unknown[])[]): string {
  const cells = [columns.map((name) => name.toUpperCase()), ...rows.map((row) => row.map((cell) => String(cell ?? '')))]
  const widths = columns.map((_, i) => Math.max(...cells.map((row) => row[i]?.length ?? 0)))
  return cells.map((row) => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()).join('\n')
}
