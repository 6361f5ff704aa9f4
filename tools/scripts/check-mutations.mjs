// Applies each mutation of mutations.json to a scratch copy of the sources and checks that a test fails.
// Usage: `npm run mutations [-- WORD]`; WORD selects the mutations whose description or file contains it.
import { execFileSync, spawnSync } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const SKIPPED_DIRS = ['.git', 'dist', '.cache']
const TIMEOUT_MS = 180_000

const word = process.argv[2] ?? ''
const mutations = JSON.parse(fs.readFileSync(path.join(import.meta.dirname, 'mutations.json'), 'utf8')).filter((it) => it.breaks.includes(word) || it.file.includes(word))
const scratchDir = fs.mkdtempSync(path.join(os.tmpdir(), 'mutations-'))
let unnoticed = 0

function listTests (dir) {
  if (dir.endsWith('.test.ts')) return [dir]
  return fs.readdirSync(dir, { recursive: true }).filter((name) => name.endsWith('.test.ts')).map((name) => path.join(dir, name))
}

function runMutation (mutation) {
  const file = path.join(scratchDir, mutation.file)
  const original = fs.readFileSync(file, 'utf8')
  if (original.split(mutation.find).length !== 2) return 'text to replace not found exactly once'
  fs.writeFileSync(file, original.replace(mutation.find, () => mutation.replace))
  const tests = listTests(path.join(scratchDir, mutation.test))
  const run = spawnSync(process.execPath, ['--import', 'tsx', '--test', ...tests], { cwd: scratchDir, timeout: TIMEOUT_MS, encoding: 'utf8' })
  fs.writeFileSync(file, original)
  return run.status === 0 ? 'NOT NOTICED' : 'noticed'
}

try {
  for (const name of fs.readdirSync('.')) {
    if (!SKIPPED_DIRS.includes(name)) execFileSync('cp', ['-a', name, scratchDir])
  }
  for (const mutation of mutations) {
    const outcome = runMutation(mutation)
    if (outcome !== 'noticed') unnoticed++
    console.log(`${outcome.padEnd(12)} ${mutation.breaks}`)
  }
} finally {
  fs.rmSync(scratchDir, { recursive: true, force: true })
}
console.log(`${mutations.length - unnoticed} of ${mutations.length} noticed`)
process.exit(unnoticed === 0 ? 0 : 1)
