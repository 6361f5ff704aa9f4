import path from 'node:path'
import { computeQuantile, printReport, printTable, roundTo, type Row } from '../report.js'
import { buildWorker } from '../buildWorker.js'
import { Worker } from '../BenchmarkWorker.js'
import { configure, KEY } from './configure.js'
import type { LoadOptions, LoadResult } from './sendLoad.js'

const MODULE = path.join(import.meta.dirname, 'worker.ts')
const TOKENS = 64
const CLOSED_MS = 4_000
const OPEN_MS = 5_000

/** With --profile the report also shows where the processes spend their time. */
let showProfile = false

interface Measured {
  perCore: number
  latencies: number[]
  failed: number
}

/** An entry instance against a bare pass-through of the same traffic, in the same run. */
export async function runEntry (args: readonly string[] = []): Promise<void> {
  showProfile = args.includes('--profile')
  const bundle = await buildWorker(MODULE)
  const workers = Array.from({ length: 4 }, () => new Worker(bundle))
  const [backends, entry, passThrough, load] = workers as [Worker, Worker, Worker, Worker]
  try {
    const platform = await backends.ask<{ service: string, engine: string }>('startBackends')
    const { address } = await entry.ask<{ address: string }>('startEntry', platform)
    await configure(address)
    const rows = [...await measureLookups({ entry, passThrough, load, address, target: platform.service })]
    const streamPass = new Worker(bundle)
    workers.push(streamPass)
    rows.push(...await measureStreams({ entry, passThrough: streamPass, load, address, target: platform.engine }))
    printReport('entry', rows, { tokensPerStream: TOKENS, note: 'per core: work done for each second of processor time of the process in the middle' })
  } finally {
    for (const worker of workers) worker.stop()
  }
}

interface Parts {
  entry: Worker
  passThrough: Worker
  load: Worker
  address: string
  target: string
}

async function measureLookups (parts: Parts): Promise<Row[]> {
  const pass = await parts.passThrough.ask<{ address: string }>('startPassThrough', { address: parts.target })
  const build = (address: string, path_: string): LoadOptions => ({
    address,
    method: 'GET',
    path: path_,
    headers: { 'authorization': `Bearer ${KEY}`, 'pulleystack-attempt': 'x' },
    durationMs: CLOSED_MS,
    expect: '"path"',
  })
  const targets = [
    { name: 'pass-through', worker: parts.passThrough, opts: build(pass.address, '/status/1') },
    { name: 'entry instance', worker: parts.entry, opts: build(parts.address, '/services/lookups/status/1') },
  ]
  return measureTargets('lookups', parts.load, targets, 64, 1)
}

async function measureStreams (parts: Parts): Promise<Row[]> {
  const pass = await parts.passThrough.ask<{ address: string }>('startPassThrough', { address: parts.target })
  const engineCall = JSON.stringify({ attempt: 'x', item: 'bench/m@base', prompt: 'x', maxTokens: TOKENS, priority: 0, offset: 0 })
  const call = JSON.stringify({ model: 'm', stream: true, max_tokens: TOKENS, prompt: 'x' })
  const headers = { 'authorization': `Bearer ${KEY}`, 'content-type': 'application/json' }
  const targets = [
    { name: 'pass-through', worker: parts.passThrough, opts: { address: pass.address, method: 'POST', path: '/generate', headers, body: engineCall, durationMs: CLOSED_MS, expect: '"end"' } },
    { name: 'entry instance', worker: parts.entry, opts: { address: parts.address, method: 'POST', path: '/v1/completions', headers, body: call, durationMs: CLOSED_MS, expect: '[DONE]' } },
  ]
  return measureTargets('token streams', parts.load, targets, 200, TOKENS)
}

async function measureTargets (
  traffic: string,
  load: Worker,
  targets: { name: string, worker: Worker, opts: LoadOptions }[],
  concurrency: number,
  unit: number,
): Promise<Row[]> {
  const measured: Measured[] = []
  for (const target of targets) measured.push(await measureClosed(load, target, concurrency))
  const half = Math.max(20, Math.floor(Math.min(...measured.map((it) => it.perCore)) / 2))
  const rows: Row[] = []
  const open: LoadResult[] = []
  for (const target of targets) open.push(await load.ask<LoadResult>('sendLoad', { ...target.opts, durationMs: OPEN_MS, perSecond: half }))
  const base = { perCore: measured[0]?.perCore ?? 1, latencies: open[0]?.latencies ?? [] }
  for (const [i, target] of targets.entries()) {
    const { perCore, failed } = measured[i] as Measured
    const { latencies } = open[i] as LoadResult
    rows.push({
      traffic,
      'process': target.name,
      'requests/s per core': Math.round(perCore),
      'units/s per core': Math.round(perCore * unit),
      'ratio': roundTo(perCore / base.perCore, 3),
      'at requests/s': half,
      'p50 ms': roundTo(computeQuantile(latencies, 0.5), 2),
      'p99 ms': roundTo(computeQuantile(latencies, 0.99), 2),
      'added p50': roundTo(computeQuantile(latencies, 0.5) - computeQuantile(base.latencies, 0.5), 2),
      'added p99': roundTo(computeQuantile(latencies, 0.99) - computeQuantile(base.latencies, 0.99), 2),
      failed,
    })
  }
  return rows
}

async function printProfile (load: Worker, target: { worker: Worker, opts: LoadOptions }, concurrency: number): Promise<void> {
  await target.worker.ask('startProfile')
  await load.ask('sendLoad', { ...target.opts, concurrency })
  const hottest = await target.worker.ask<{ place: string, share: number }[]>('stopProfile')
  printTable(hottest.map(({ place, share }) => ({ place, share })))
}

async function measureClosed (load: Worker, target: { worker: Worker, opts: LoadOptions }, concurrency: number): Promise<Measured> {
  await load.ask('sendLoad', { ...target.opts, concurrency, durationMs: 1_500 })
  if (showProfile) await printProfile(load, target, concurrency)
  const before = await target.worker.ask<number>('readCpu')
  const result = await load.ask<LoadResult>('sendLoad', { ...target.opts, concurrency })
  const cpuSeconds = (await target.worker.ask<number>('readCpu') - before) / 1e6
  return { perCore: (result.requests - result.failed) / cpuSeconds, latencies: result.latencies, failed: result.failed }
}
