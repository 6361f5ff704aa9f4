// Runs unit and property tests and the scenarios, and ends with one line that counts both.
// With a path or more as arguments, only the tests below them. Failures of the tests that KNOWN-RED.txt lists are printed and do not
// count; each of its lines is `full name of the test | cause | issue`, the name with its suites joined by ' > '.
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const SKIPPED = new Set(['node_modules', 'dist', '.git', '.cache'])
const KNOWN_RED = 'KNOWN-RED.txt'
/** More lines than this are no list of exceptions any more. */
const MAX_KNOWN_RED = 8
const REPORTER = './tools/scripts/failedTestsReporter.mjs'

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

async function runUnits (files, knownRed) {
  if (files.length === 0) return { passed: 0, failed: 0 }
  const concurrency = Math.max(2, Math.floor(os.cpus().length / 2))
  const failedFile = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'pulleystack-tests-')), 'failed.txt')
  const reporters = ['--test-reporter=spec', '--test-reporter-destination=stdout', `--test-reporter=${REPORTER}`, `--test-reporter-destination=${failedFile}`]
  const { code, output } = await run(['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, ...reporters, ...files])
  const passed = readCount(output, /^ℹ pass (\d+)$/m)
  const failed = readCount(output, /^ℹ fail (\d+)$/m)
  const passedOver = readLines(failedFile).filter((name) => knownRed.some((red) => red.test === name))
  for (const name of passedOver) console.log(`failed as KNOWN-RED.txt says, not counted: ${name}`)
  return { passed, failed: code !== 0 && failed === 0 ? 1 : failed - passedOver.length }
}

function readLines (file) {
  return fs.existsSync(file) ? fs.readFileSync(file, 'utf8').split('\n').filter((line) => line !== '') : []
}

/** The tests that may fail, each with its cause and issue. */
function readKnownRed () {
  const lines = readLines(KNOWN_RED)
  const listed = lines.map((line) => line.split(' | ')).map(([test, cause, issue]) => ({ test, cause, issue }))
  if (listed.length <= MAX_KNOWN_RED && listed.every((red) => red.cause && red.issue)) return listed
  console.log(`${KNOWN_RED} must have ${MAX_KNOWN_RED} lines at most, each of the form 'test | cause | issue'\n0 passed, 1 failed`)
  process.exit(1)
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
const units = await runUnits(files, readKnownRed())
const scenarios = wanted.length === 0 ? await runScenarios() : { passed: 0, failed: 0 }
printKnownRed()
const passed = units.passed + scenarios.passed
const failed = units.failed + scenarios.failed
console.log(`${passed} passed, ${failed} failed`)
process.exit(failed === 0 && passed > 0 ? 0 : 1)
