// Runs unit and property tests and the scenarios, and ends with one line that counts both.
// With a path or more as arguments, only the tests below them.
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const SKIPPED = new Set(['node_modules', 'dist', '.git', '.cache'])
const KNOWN_RED = 'KNOWN-RED.txt'

function listTests (dir) {
  return fs.readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const name = path.join(dir, entry.name)
    if (entry.isDirectory()) return SKIPPED.has(entry.name) ? [] : listTests(name)
    return entry.name.endsWith('.test.ts') ? [name] : []
  })
}

function run (args) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, FORCE_COLOR: '0' } })
    let output = ''
    child.stdout.on('data', (chunk) => {
      output += chunk
      process.stdout.write(chunk)
    })
    child.on('exit', (code) => resolve({ code, output }))
  })
}

function readCount (output, pattern) {
  return Number(pattern.exec(output)?.[1] ?? 0)
}

async function runUnits (files) {
  if (files.length === 0) return { passed: 0, failed: 0 }
  const concurrency = Math.max(2, Math.floor(os.cpus().length / 2))
  const { code, output } = await run(['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, '--test-reporter=spec', ...files])
  const passed = readCount(output, /^ℹ pass (\d+)$/m)
  const failed = readCount(output, /^ℹ fail (\d+)$/m)
  return { passed, failed: code !== 0 && failed === 0 ? 1 : failed }
}

async function runScenarios () {
  if (!fs.existsSync('features')) return { passed: 0, failed: 0 }
  const { code, output } = await run(['--import', 'tsx', 'node_modules/@cucumber/cucumber/bin/cucumber.js', '--import', 'features/steps/**/*.ts', 'features/**/*.feature', '--format', 'progress'])
  const summary = /(\d+) scenarios? \((.*)\)/.exec(output)
  const passed = readCount(summary?.[2] ?? '', /(\d+) passed/)
  const failed = Number(summary?.[1] ?? 0) - passed
  return { passed, failed: code !== 0 && failed === 0 ? 1 : failed }
}

function printKnownRed () {
  if (!fs.existsSync(KNOWN_RED)) return
  console.log(`known to fail (${KNOWN_RED}):\n${fs.readFileSync(KNOWN_RED, 'utf8')}`)
}

const wanted = process.argv.slice(2)
const files = listTests('.').filter((file) => wanted.length === 0 || wanted.some((part) => file.includes(part)))
const units = await runUnits(files)
const scenarios = wanted.length === 0 ? await runScenarios() : { passed: 0, failed: 0 }
printKnownRed()
const passed = units.passed + scenarios.passed
const failed = units.failed + scenarios.failed
console.log(`${passed} passed, ${failed} failed`)
process.exit(failed === 0 && passed > 0 ? 0 : 1)
