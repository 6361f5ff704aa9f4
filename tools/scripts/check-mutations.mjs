// Breaks the program on purpose, one place at a time, in a scratch copy, and sees that a test notices. A test that
// passes on the broken build proves nothing. `npm run mutations`, or with a word to take only those that contain it.
import { execFileSync, spawnSync } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const SKIPPED = ['.git', 'dist', '.cache']
const TIMEOUT_MS = 180_000

const word = process.argv[2] ?? ''
const mutations = JSON.parse(fs.readFileSync(path.join(import.meta.dirname, 'mutations.json'), 'utf8')).filter((it) => it.breaks.includes(word) || it.file.includes(word))
const scratch = fs.mkdtempSync(path.join(os.tmpdir(), 'mutations-'))
let missed = 0

function listTests (dir) {
  if (dir.endsWith('.test.ts')) return [dir]
  return fs.readdirSync(dir, { recursive: true }).filter((name) => name.endsWith('.test.ts')).map((name) => path.join(dir, name))
}

function runMutation (mutation) {
  const file = path.join(scratch, mutation.file)
  const original = fs.readFileSync(file, 'utf8')
  if (original.split(mutation.find).length !== 2) return 'the place to break is not there (once)'
  fs.writeFileSync(file, original.replace(mutation.find, () => mutation.replace))
  const tests = listTests(path.join(scratch, mutation.test))
  const run = spawnSync(process.execPath, ['--import', 'tsx', '--test', ...tests], { cwd: scratch, timeout: TIMEOUT_MS, encoding: 'utf8' })
  fs.writeFileSync(file, original)
  return run.status === 0 ? 'NOT NOTICED' : 'noticed'
}

try {
  for (const name of fs.readdirSync('.')) {
    if (!SKIPPED.includes(name)) execFileSync('cp', ['-a', name, scratch])
  }
  for (const mutation of mutations) {
    const outcome = runMutation(mutation)
    if (outcome !== 'noticed') missed++
    console.log(`${outcome.padEnd(12)} ${mutation.breaks}`)
  }
} finally {
  fs.rmSync(scratch, { recursive: true, force: true })
}
console.log(`${mutations.length - missed} of ${mutations.length} noticed`)
process.exit(missed === 0 ? 0 : 1)
