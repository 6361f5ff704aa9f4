// Writes the tables of docs/CAPACITY.md from docs/capacity/measured.json. `--check` only compares them, and exits with 1
// if they differ.
import fs from 'node:fs'
import { renderBudgetTable, renderSlopeTable, type Measurements } from '../bench/src/capacity/budget.js'

const PAGE = 'docs/CAPACITY.md'
const MEASUREMENTS_FILE = 'docs/capacity/measured.json'

function replaceSection (text: string, name: string, table: string): string {
  const beginMarker = `<!-- ${name} -->`
  const endMarker = `<!-- end of ${name} -->`
  const beginAt = text.indexOf(beginMarker)
  const endAt = text.indexOf(endMarker)
  if (beginAt < 0 || endAt < 0) throw new Error(`${PAGE} has no section markers for ${name}`)
  return `${text.slice(0, beginAt + beginMarker.length)}\n${table}\n${text.slice(endAt)}`
}

const measurements = JSON.parse(fs.readFileSync(MEASUREMENTS_FILE, 'utf8')) as Measurements
const current = fs.readFileSync(PAGE, 'utf8')
const written = replaceSection(replaceSection(current, 'slopes', renderSlopeTable(measurements)), 'budget', renderBudgetTable(measurements))
if (process.argv.includes('--check')) process.exit(written === current ? 0 : 1)
fs.writeFileSync(PAGE, written)
