import assert from 'node:assert/strict'
import fs from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { renderLogLines } from '../../../tools/scripts/renderLogLines.mjs'
import { DecisionKinds } from '../src/index.js'

const DOCS = path.join(import.meta.dirname, '../../../docs')
const PAGE = path.join(DOCS, 'log-lines.md')
const TABLE_OF_LINES = /^\| Line \|.*\n\|[-|]+\n((?:\|.*\n)+)/gm
/** Written by the log itself. */
const LINES_DROPPED = 'lines-dropped'

interface TableRow {
  /** The lines that the first column names. */
  kinds: string[]
  /** Names in the second column. */
  named: string[]
  hasFields: boolean
}

/** Lists the rows of a page's tables of lines. */
function listTableRows (page: string): TableRow[] {
  return [...page.matchAll(TABLE_OF_LINES)].flatMap(([table, rows = '']) => rows.trim().split('\n').map((row) => {
    const [, first = '', second = ''] = row.split('|')
    return { kinds: listKinds(first), named: listQuoted(second), hasFields: table.startsWith('| Line | Fields |') }
  }))
}

function listQuoted (cell: string): string[] {
  return [...cell.matchAll(/`([^`]+)`/g)].map(([, name = '']) => name)
}

/** A name that begins with a hyphen shares the first word of the first name. */
function listKinds (cell: string): string[] {
  const [first = '', ...others] = listQuoted(cell)
  return [first, ...others.map((name) => name.startsWith('-') ? `${first.split('-')[0]}${name}` : name)]
}

describe('docs/log-lines.md', () => {
  it('is up to date with the code', () => {
    assert.equal(fs.readFileSync(PAGE, 'utf8'), renderLogLines())
  })

  it('lists every kind of log line', () => {
    const page = renderLogLines()
    for (const kind of Object.values(DecisionKinds)) assert.ok(page.includes(`| \`${kind}\` |`), kind)
  })
})

describe('docs/OPERATIONS.md', () => {
  const rows = listTableRows(fs.readFileSync(path.join(DOCS, 'OPERATIONS.md'), 'utf8'))

  it('names only lines that exist in its tables of lines', () => {
    const known = new Set<string>([...Object.values(DecisionKinds), LINES_DROPPED])
    const named = rows.flatMap(({ kinds }) => kinds)
    assert.ok(named.length > 30, `${named.length} lines found`)
    assert.deepEqual(named.filter((kind) => !known.has(kind)), [])
  })

  it('names only fields that the lines tell', () => {
    const page = renderLogLines()
    const withFields = rows.filter(({ hasFields }) => hasFields)
    const missing = withFields.flatMap(({ kinds, named }) => kinds.flatMap((kind) => {
      const tells = new RegExp(`^\\| \`${kind}\` \\| ([^|]*)`, 'm').exec(page)?.[1] ?? ''
      return named.filter((field) => !tells.includes(`\`${field}\``) && !tells.includes(`\`${field}?\``)).map((field) => `${kind}: ${field}`)
    }))
    assert.ok(withFields.length > 5, `${withFields.length} rows with fields found`)
    assert.deepEqual(missing, [])
  })
})
