import type { LoadSummary } from './LoadSummary.js'

type Cell = string | number | undefined
type Row = Readonly<Record<string, Cell>>

/** Formats the summary as text tables, with the fields of the JSON lines as columns. Columns without any value and empty tables are left out. */
export function formatLoadTables (summary: LoadSummary): string {
  return listTables(summary)
    .filter(([, rows]) => rows.length > 0)
    .map(([name, rows]) => `${name}\n${formatTable(rows)}`)
    .join('\n\n')
}

/** Formats the summary as JSON lines, one for each row, with the name of its table in `table`. */
export function formatLoadJsonLines (summary: LoadSummary): string {
  return listTables(summary).flatMap(([table, rows]) => rows.map((row) => JSON.stringify({ table, ...row }))).join('\n')
}

function listTables (summary: LoadSummary): [string, readonly Row[]][] {
  const { lines, skippedLines, requests, succeeded, relayed, unfinished } = summary
  return [
    ['total', [{ lines, skippedLines, requests, succeeded, relayed, unfinished }]],
    ['streams', [{ ...summary.streams }]],
    ['servers', summary.servers.map((row) => ({ ...row }))],
    ['models', summary.models.map((row) => ({ ...row }))],
    ['routes', summary.routes.map((row) => ({ ...row }))],
    ['waits', summary.waits.map((row) => ({ ...row }))],
    ['failures', summary.failures.map((row) => ({ ...row }))],
    ['loads', summary.loads.map((row) => ({ ...row }))],
    ['orders', summary.orders.map((row) => ({ ...row }))],
  ]
}

/** Numbers are aligned to the right, text to the left. */
function formatTable (rows: readonly Row[]): string {
  const names = [...new Set(rows.flatMap((row) => Object.keys(row)))]
  const columns = names.filter((name) => rows.some((row) => row[name] !== undefined)).map((name) => {
    const cells = [name, ...rows.map((row) => String(row[name] ?? '-'))]
    const width = Math.max(...cells.map((cell) => cell.length))
    const isText = rows.some((row) => typeof row[name] === 'string')
    return cells.map((cell) => isText ? cell.padEnd(width) : cell.padStart(width))
  })
  return ['', ...rows].map((_, i) => columns.map((cells) => cells[i]).join('  ').trimEnd()).join('\n')
}
