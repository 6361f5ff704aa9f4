import path from 'node:path'
import { buildWorker } from '../buildWorker.js'
import { BenchmarkWorker } from '../BenchmarkWorker.js'
import { configure, CALLER_KEY } from '../entry/configure.js'
import type { LoadResult } from '../entry/sendLoad.js'
import { roundTo } from '../report.js'
import { fitLine } from './fitLine.js'
import type { MeasuredSlope } from './runCapacity.js'

const WORKER_MODULE = path.join(import.meta.dirname, '../entry/worker.ts')
const REQUESTS_PER_SECOND = [200, 400, 600, 800]
const TOKENS_PER_STREAM = [8, 32, 64, 128]
const STREAMS_PER_SECOND = 40
const DURATION_MS = 3_000

/** Measures an entry instance's CPU time per request and per streamed token, in a separate process. */
export async function measureTraffic (): Promise<MeasuredSlope[]> {
  const bundle = await buildWorker(WORKER_MODULE)
  const workers = Array.from({ length: 3 }, () => new BenchmarkWorker(bundle))
  const [backendWorker, entryWorker, loadWorker] = workers as [BenchmarkWorker, BenchmarkWorker, BenchmarkWorker]
  try {
    const platform = await backendWorker.request('startBackends')
    const { address } = await entryWorker.request<{ address: string }>('startEntry', platform)
    await configure(address)
    const lookups = await measurePoints(entryWorker, REQUESTS_PER_SECOND, (perSecond) => loadWorker.request<LoadResult>('sendLoad', {
      address,
      method: 'GET',
      path: '/services/lookups/1',
      headers: { authorization: `Bearer ${CALLER_KEY}` },
      durationMs: DURATION_MS,
      perSecond,
      expect: '"path"',
    }))
    const streams = await measurePoints(entryWorker, TOKENS_PER_STREAM, (tokens) => loadWorker.request<LoadResult>('sendLoad', {
      address,
      method: 'POST',
      path: '/v1/completions',
      headers: { authorization: `Bearer ${CALLER_KEY}` },
      durationMs: DURATION_MS,
      perSecond: STREAMS_PER_SECOND,
      body: JSON.stringify({ model: 'm', stream: true, max_tokens: tokens, prompt: 'x' }),
      expect: '[DONE]',
    }))
    return [
      buildSlope('requestCpu', 'request a second', 'us of cpu a second', lookups.map((it) => ({ size: it.size, value: it.cpuMicros / it.seconds }))),
      buildSlope('tokenCpu', 'token of a stream', 'us of cpu a stream', streams.map((it) => ({ size: it.size, value: it.cpuMicros / it.requests }))),
    ]
  } finally {
    for (const worker of workers) worker.stop()
  }
}

interface TrafficPoint {
  size: number
  cpuMicros: number
  requests: number
  seconds: number
}

async function measurePoints (entryWorker: BenchmarkWorker, sizes: readonly number[], send: (size: number) => Promise<LoadResult>): Promise<TrafficPoint[]> {
  // Warms up the JIT compiler.
  for (let i = 0; i < 2; i++) await send(sizes.at(-1) as number)
  const points: TrafficPoint[] = []
  for (const size of sizes) {
    const cpuBefore = await entryWorker.request<number>('readCpu')
    const { requests, seconds } = await send(size)
    points.push({ size, cpuMicros: await entryWorker.request<number>('readCpu') - cpuBefore, requests, seconds })
  }
  return points
}

function buildSlope (name: string, per: string, unit: string, points: { size: number, value: number }[]): MeasuredSlope {
  const rounded = points.map(({ size, value }) => ({ size, value: roundTo(value, 2) }))
  const fit = fitLine(rounded)
  return { name, per, unit, points: rounded, fit: { slope: roundTo(fit.slope, 2), intercept: roundTo(fit.intercept, 1), error: roundTo(fit.error, 3) } }
}
