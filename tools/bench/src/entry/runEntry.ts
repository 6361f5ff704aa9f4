import path from 'node:path'
import { computeQuantile, printReport, printTable, roundTo, type Row } from '../report.js'
import { buildWorker } from '../buildWorker.js'
import { BenchmarkWorker } from '../BenchmarkWorker.js'
import { configure, CALLER_KEY } from './configure.js'
import type { LoadOptions, LoadResult } from './sendLoad.js'

const WORKER_MODULE = path.join(import.meta.dirname, 'worker.ts')
const TOKENS_PER_STREAM = 64
const CLOSED_LOOP_MS = 4_000
const OPEN_LOOP_MS = 5_000

/** Set by `--profile`: also prints the functions in which the processes spend their time. */
let showProfile = false

interface ClosedLoopResult {
  requestsPerCore: number
  latencies: number[]
  failed: number
}

/** Compares an entry instance with a minimal pass-through proxy under the same traffic. */
export async function runEntry (args: readonly string[] = []): Promise<void> {
  showProfile = args.includes('--profile')
  const bundle = await buildWorker(WORKER_MODULE)
  const workers = Array.from({ length: 4 }, () => new BenchmarkWorker(bundle))
  const [backendWorker, entry, passThrough, loadWorker] = workers as [BenchmarkWorker, BenchmarkWorker, BenchmarkWorker, BenchmarkWorker]
  try {
    const platform = await backendWorker.request<{ service: string, engine: string }>('startBackends')
    const { address } = await entry.request<{ address: string }>('startEntry', platform)
    await configure(address)
    const rows = [...await measureLookups({ entry, passThrough, load: loadWorker, entryAddress: address, backendAddress: platform.service })]
    const streamPassThrough = new BenchmarkWorker(bundle)
    workers.push(streamPassThrough)
    rows.push(...await measureStreams({ entry, passThrough: streamPassThrough, load: loadWorker, entryAddress: address, backendAddress: platform.engine }))
    printReport('entry', rows, { tokensPerStream: TOKENS_PER_STREAM, note: 'per core: work done per second of CPU time of the entry instance or proxy' })
  } finally {
    for (const worker of workers) worker.stop()
  }
}

interface Setup {
  entry: BenchmarkWorker
  passThrough: BenchmarkWorker
  load: BenchmarkWorker
  entryAddress: string
  backendAddress: string
}

async function measureLookups (setup: Setup): Promise<Row[]> {
  const proxy = await setup.passThrough.request<{ address: string }>('startPassThrough', { address: setup.backendAddress })
  const buildOptions = (address: string, requestPath: string): LoadOptions => ({
    address,
    method: 'GET',
    path: requestPath,
    headers: { 'authorization': `Bearer ${CALLER_KEY}`, 'pulleystack-attempt': 'x' },
    durationMs: CLOSED_LOOP_MS,
    expect: '"path"',
  })
  const targets = [
    { name: 'pass-through', worker: setup.passThrough, opts: buildOptions(proxy.address, '/status/1') },
    { name: 'entry instance', worker: setup.entry, opts: buildOptions(setup.entryAddress, '/services/lookups/status/1') },
  ]
  return measureTargets('lookups', setup.load, targets, 64, 1)
}

async function measureStreams (setup: Setup): Promise<Row[]> {
  const proxy = await setup.passThrough.request<{ address: string }>('startPassThrough', { address: setup.backendAddress })
  const engineCall = JSON.stringify({ attempt: 'x', item: 'bench/m@base', prompt: 'x', maxTokens: TOKENS_PER_STREAM, priority: 0, offset: 0 })
  const call = JSON.stringify({ model: 'm', stream: true, max_tokens: TOKENS_PER_STREAM, prompt: 'x' })
  const headers = { 'authorization': `Bearer ${CALLER_KEY}`, 'content-type': 'application/json' }
  const targets = [
    { name: 'pass-through', worker: setup.passThrough, opts: { address: proxy.address, method: 'POST', path: '/generate', headers, body: engineCall, durationMs: CLOSED_LOOP_MS, expect: '"end"' } },
    { name: 'entry instance', worker: setup.entry, opts: { address: setup.entryAddress, method: 'POST', path: '/v1/completions', headers, body: call, durationMs: CLOSED_LOOP_MS, expect: '[DONE]' } },
  ]
  return measureTargets('token streams', setup.load, targets, 200, TOKENS_PER_STREAM)
}

async function measureTargets (
  traffic: string,
  load: BenchmarkWorker,
  targets: { name: string, worker: BenchmarkWorker, opts: LoadOptions }[],
  concurrency: number,
  unit: number,
): Promise<Row[]> {
  const closedLoopResults: ClosedLoopResult[] = []
  for (const target of targets) closedLoopResults.push(await measureClosed(load, target, concurrency))
  const requestsPerSecond = Math.max(20, Math.floor(Math.min(...closedLoopResults.map((it) => it.requestsPerCore)) / 2))
  const rows: Row[] = []
  const openLoopResults: LoadResult[] = []
  for (const target of targets) openLoopResults.push(await load.request<LoadResult>('sendLoad', { ...target.opts, durationMs: OPEN_LOOP_MS, perSecond: requestsPerSecond }))
  const baseline = { requestsPerCore: closedLoopResults[0]?.requestsPerCore ?? 1, latencies: openLoopResults[0]?.latencies ?? [] }
  for (const [i, target] of targets.entries()) {
    const { requestsPerCore, failed } = closedLoopResults[i] as ClosedLoopResult
    const { latencies } = openLoopResults[i] as LoadResult
    rows.push({
      traffic,
      'process': target.name,
      'requests/s per core': Math.round(requestsPerCore),
      'units/s per core': Math.round(requestsPerCore * unit),
      'ratio': roundTo(requestsPerCore / baseline.requestsPerCore, 3),
      'at requests/s': requestsPerSecond,
      'p50 ms': roundTo(computeQuantile(latencies, 0.5), 2),
      'p99 ms': roundTo(computeQuantile(latencies, 0.99), 2),
      'added p50': roundTo(computeQuantile(latencies, 0.5) - computeQuantile(baseline.latencies, 0.5), 2),
      'added p99': roundTo(computeQuantile(latencies, 0.99) - computeQuantile(baseline.latencies, 0.99), 2),
      failed,
    })
  }
  return rows
}

async function printProfile (load: BenchmarkWorker, target: { worker: BenchmarkWorker, opts: LoadOptions }, concurrency: number): Promise<void> {
  await target.worker.request('startProfile')
  await load.request('sendLoad', { ...target.opts, concurrency })
  const hottestFunctions = await target.worker.request<{ place: string, share: number }[]>('stopProfile')
  printTable(hottestFunctions.map(({ place, share }) => ({ place, share })))
}

async function measureClosed (load: BenchmarkWorker, target: { worker: BenchmarkWorker, opts: LoadOptions }, concurrency: number): Promise<ClosedLoopResult> {
  await load.request('sendLoad', { ...target.opts, concurrency, durationMs: 1_500 })
  if (showProfile) await printProfile(load, target, concurrency)
  const cpuBefore = await target.worker.request<number>('readCpu')
  const result = await load.request<LoadResult>('sendLoad', { ...target.opts, concurrency })
  const cpuSeconds = (await target.worker.request<number>('readCpu') - cpuBefore) / 1e6
  return { requestsPerCore: (result.requests - result.failed) / cpuSeconds, latencies: result.latencies, failed: result.failed }
}
