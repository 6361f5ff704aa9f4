import { spawnSync } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'
import { measureConvergence, type ConvergenceResult } from '../fleet/runConvergence.js'
import { printTable, roundTo, type Row } from '../report.js'
import { measureTraffic } from './measureTraffic.js'
import { fitLine, type Fit } from './fitLine.js'
import { renderPlot } from './renderPlot.js'
import { slopeTasks, type SlopeTask } from './slopes.js'

const OUT = path.join(import.meta.dirname, '../../../../docs/capacity')
const FLEET_SIZES = [8, 12, 16, 24]

/** One slope as it stands in docs/capacity/measured.json. */
export interface MeasuredSlope {
  name: string
  per: string
  unit: string
  points: { size: number, value: number }[]
  fit: Fit
}

/** Measures every slope at four sizes or more, and writes the file and the plots that docs/CAPACITY.md is made from. */
export async function runCapacity (args: readonly string[] = []): Promise<void> {
  if (!args.includes('--here')) {
    runWithCollector()
    return
  }
  const slopes: MeasuredSlope[] = []
  for (const task of slopeTasks) slopes.push(await measureSlope(task))
  slopes.push(...await measureTraffic())
  slopes.push(...await measureFleet())
  fs.mkdirSync(OUT, { recursive: true })
  fs.writeFileSync(path.join(OUT, 'measured.json'), `${JSON.stringify({ at: new Date().toISOString().slice(0, 10), slopes }, null, 1)}\n`)
  for (const slope of slopes) fs.writeFileSync(path.join(OUT, `${slope.name}.svg`), renderPlot(`${slope.name}: ${slope.unit} by ${slope.per}`, slope.points, slope.fit))
  printTable(slopes.map(describe))
  for (const slope of slopes) console.log(JSON.stringify(slope))
}

/** Heap sizes need a garbage collector that can be asked to run. */
function runWithCollector (): void {
  const main = path.join(import.meta.dirname, '../main.ts')
  spawnSync(process.execPath, ['--expose-gc', '--import', 'tsx', main, 'capacity', '--here'], { stdio: 'inherit' })
}

async function measureSlope (task: SlopeTask): Promise<MeasuredSlope> {
  const points = []
  await task.measure(task.sizes[0] as number)
  for (const size of task.sizes) points.push({ size, value: roundTo(await task.measure(size), 3) })
  const { name, per, unit } = task
  return { name, per, unit, points, fit: roundFit(fitLine(points)) }
}

/** Bytes and processor time of control by links and heartbeats, as the number of instances grows. */
async function measureFleet (): Promise<MeasuredSlope[]> {
  const results: ConvergenceResult[] = []
  for (const size of FLEET_SIZES) results.push(await measureConvergence(size))
  const build = (name: string, unit: string, read: (it: typeof results[number]) => number): MeasuredSlope => {
    const points = results.map((it) => ({ size: it.instances, value: roundTo(read(it), 4) }))
    return { name, per: 'instance of the fleet', unit, points, fit: roundFit(fitLine(points)) }
  }
  return [
    build('peerBytes', 'bytes/s', (it) => it.bytesPerInstance),
    build('peerCpu', '% of a core', (it) => it.cpuShare * 100),
    build('changeMs', 'ms until in force (worst)', (it) => Math.max(...it.latencies)),
  ]
}

function roundFit (fit: Fit): Fit {
  return { slope: Number(fit.slope.toPrecision(4)), intercept: Number(fit.intercept.toPrecision(4)), error: roundTo(fit.error, 3) }
}

function describe (slope: MeasuredSlope): Row {
  return { 'slope': slope.name, 'per': slope.per, 'unit': slope.unit, 'each': slope.fit.slope, 'fixed': slope.fit.intercept, 'error of fit': slope.fit.error }
}
