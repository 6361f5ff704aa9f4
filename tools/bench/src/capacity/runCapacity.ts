import { spawnSync } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'
import { measureConvergence, type ConvergenceResult } from '../fleet/runConvergence.js'
import { printTable, roundTo, type Row } from '../report.js'
import { measureTraffic } from './measureTraffic.js'
import { fitLine, type Fit } from './fitLine.js'
import { renderPlot } from './renderPlot.js'
import { slopeTasks, type SlopeTask } from './slopes.js'

const OUTPUT_DIR = path.join(import.meta.dirname, '../../../../docs/capacity')
const INSTANCE_COUNTS = [8, 12, 16, 24]

/** One slope, as stored in docs/capacity/measured.json. */
export interface MeasuredSlope {
  name: string
  per: string
  unit: string
  points: { size: number, value: number }[]
  fit: Fit
}

/** Measures every slope and writes the data file and plots used by docs/CAPACITY.md. */
export async function runCapacity (args: readonly string[] = []): Promise<void> {
  if (!args.includes('--here')) {
    runWithExposedGc()
    return
  }
  const slopes: MeasuredSlope[] = []
  for (const task of slopeTasks) slopes.push(await measureSlope(task))
  slopes.push(...await measureTraffic())
  slopes.push(...await measureFleet())
  fs.mkdirSync(OUTPUT_DIR, { recursive: true })
  fs.writeFileSync(path.join(OUTPUT_DIR, 'measured.json'), `${JSON.stringify({ at: new Date().toISOString().slice(0, 10), slopes }, null, 1)}\n`)
  for (const slope of slopes) fs.writeFileSync(path.join(OUTPUT_DIR, `${slope.name}.svg`), renderPlot(`${slope.name}: ${slope.unit} by ${slope.per}`, slope.points, slope.fit))
  printTable(slopes.map(buildRow))
  for (const slope of slopes) console.log(JSON.stringify(slope))
}

/** Runs the benchmark in a child process with `--expose-gc`, which the heap measurements need. */
function runWithExposedGc (): void {
  const mainModule = path.join(import.meta.dirname, '../main.ts')
  spawnSync(process.execPath, ['--expose-gc', '--import', 'tsx', mainModule, 'capacity', '--here'], { stdio: 'inherit' })
}

async function measureSlope (task: SlopeTask): Promise<MeasuredSlope> {
  const points = []
  await task.measure(task.sizes[0] as number)
  for (const size of task.sizes) points.push({ size, value: roundTo(await task.measure(size), 3) })
  const { name, per, unit } = task
  return { name, per, unit, points, fit: roundFit(fitLine(points)) }
}

/** Measures control traffic, CPU time and propagation of changes by number of instances. */
async function measureFleet (): Promise<MeasuredSlope[]> {
  const results: ConvergenceResult[] = []
  for (const size of INSTANCE_COUNTS) results.push(await measureConvergence(size))
  const buildSlope = (name: string, unit: string, readValue: (it: typeof results[number]) => number): MeasuredSlope => {
    const points = results.map((it) => ({ size: it.instances, value: roundTo(readValue(it), 4) }))
    return { name, per: 'instance of the fleet', unit, points, fit: roundFit(fitLine(points)) }
  }
  return [
    buildSlope('peerBytes', 'bytes/s', (it) => it.bytesPerInstance),
    buildSlope('peerCpu', '% of a core', (it) => it.cpuShare * 100),
    buildSlope('changeMs', 'ms until in force (worst)', (it) => Math.max(...it.latencies)),
  ]
}

function roundFit (fit: Fit): Fit {
  return { slope: Number(fit.slope.toPrecision(4)), intercept: Number(fit.intercept.toPrecision(4)), error: roundTo(fit.error, 3) }
}

function buildRow (slope: MeasuredSlope): Row {
  return { 'slope': slope.name, 'per': slope.per, 'unit': slope.unit, 'each': slope.fit.slope, 'fixed': slope.fit.intercept, 'error of fit': slope.fit.error }
}
