import path from 'node:path'
import { buildWorker } from '../buildWorker.js'
import { Worker } from '../BenchmarkWorker.js'
import { configure, KEY } from '../entry/configure.js'
import type { LoadResult } from '../entry/sendLoad.js'
import { roundTo } from '../report.js'
import { fitLine } from './fitLine.js'
import type { MeasuredSlope } from './runCapacity.js'

const MODULE = path.join(import.meta.dirname, '../entry/worker.ts')
const RATES = [200, 400, 600, 800]
const TOKENS = [8, 32, 64, 128]
const STREAMS_PER_SECOND = 40
const DURATION_MS = 3_000

/** Processor time of an entry instance for each request and each token, in a process of its own. */
export async function measureTraffic (): Promise<MeasuredSlope[]> {
  const bundle = await buildWorker(MODULE)
  const workers = Array.from({ length: 3 }, () => new Worker(bundle))
  const [backends, entry, load] = workers as [Worker, Worker, Worker]
  try {
    const platform = await backends.ask('startBackends')
    const { address } = await entry.ask<{ address: string }>('startEntry', platform)
    await configure(address)
    const lookups = await measurePoints(entry, RATES, (perSecond) => load.ask<LoadResult>('sendLoad', {
      address,
      method: 'GET',
      path: '/services/lookups/1',
      headers: { authorization: `Bearer ${KEY}` },
      durationMs: DURATION_MS,
      perSecond,
      expect: '"path"',
    }))
    const streams = await measurePoints(entry, TOKENS, (tokens) => load.ask<LoadResult>('sendLoad', {
      address,
      method: 'POST',
      path: '/v1/completions',
      headers: { authorization: `Bearer ${KEY}` },
      durationMs: DURATION_MS,
      perSecond: STREAMS_PER_SECOND,
      body: JSON.stringify({ model: 'm', stream: true, max_tokens: tokens, prompt: 'x' }),
      expect: '[DONE]',
    }))
    return [
      buildSlope('requestCpu', 'request a second', 'us of cpu a second', lookups.map((it) => ({ size: it.size, value: it.micros / it.seconds }))),
      buildSlope('tokenCpu', 'token of a stream', 'us of cpu a stream', streams.map((it) => ({ size: it.size, value: it.micros / it.requests }))),
    ]
  } finally {
    for (const worker of workers) worker.stop()
  }
}

interface TrafficPoint {
  size: number
  micros: number
  requests: number
  seconds: number
}

async function measurePoints (entry: Worker, sizes: readonly number[], run: (size: number) => Promise<LoadResult>): Promise<TrafficPoint[]> {
  // Twice, until the compiler has seen it all.
  for (let i = 0; i < 2; i++) await run(sizes.at(-1) as number)
  const points: TrafficPoint[] = []
  for (const size of sizes) {
    const before = await entry.ask<number>('readCpu')
    const { requests, seconds } = await run(size)
    points.push({ size, micros: await entry.ask<number>('readCpu') - before, requests, seconds })
  }
  return points
}

function buildSlope (name: string, per: string, unit: string, points: { size: number, value: number }[]): MeasuredSlope {
  const rounded = points.map(({ size, value }) => ({ size, value: roundTo(value, 2) }))
  const fit = fitLine(rounded)
  return { name, per, unit, points: rounded, fit: { slope: roundTo(fit.slope, 2), intercept: roundTo(fit.intercept, 1), error: roundTo(fit.error, 3) } }
}
