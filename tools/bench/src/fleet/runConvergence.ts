import { buildObjectKey, Kinds } from '@pulleystack/config.objects'
import { SystemClock } from '@pulleystack/core.clock'
import { MemoryInstanceList, MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { buildCaller } from '@pulleystack/tools.testing'
import { readCpuMicros } from '../BenchmarkWorker.js'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'
import { ControlPlaneInstance } from './ControlPlaneInstance.js'

const INSTANCE_COUNTS = [4, 8, 16, 32, 64]
const OBJECT_COUNT = 500
const CHANGE_COUNT = 30
const CHANGE_INTERVAL_MS = 150
const IDLE_MS = 4_000
const STORE_DELAY_MS = 3
const SETTLE_MS = 4_000

export interface ConvergenceResult {
  instances: number
  latencies: number[]
  storeCallsPerSecond: number
  bytesPerInstance: number
  cpuShare: number
}

/** Measures how long a configuration change takes to reach all instances, and the cost of control traffic. */
export async function runConvergence (): Promise<void> {
  const rows: Row[] = []
  for (const instances of INSTANCE_COUNTS) rows.push(buildRow(await measureConvergence(instances)))
  printReport('convergence', rows, { objects: OBJECT_COUNT, changes: CHANGE_COUNT, note: 'store calls, control bytes and CPU while the configuration does not change' })
}

function buildRow (result: ConvergenceResult): Row {
  return {
    'instances': result.instances,
    'p50 ms': roundTo(computeQuantile(result.latencies, 0.5), 1),
    'p99 ms': roundTo(computeQuantile(result.latencies, 0.99), 1),
    'max ms': roundTo(Math.max(...result.latencies), 1),
    'store calls/s': roundTo(result.storeCallsPerSecond, 2),
    'control B/s per instance': roundTo(result.bytesPerInstance, 0),
    'cpu % of a core per instance': roundTo(result.cpuShare * 100, 3),
  }
}

export async function measureConvergence (count: number): Promise<ConvergenceResult> {
  const clock = new SystemClock()
  const store = new MemoryObjectStore({ clock })
  store.faults.delayMs = STORE_DELAY_MS
  const list = new MemoryInstanceList({ clock, lagMs: 500 })
  for (let i = 0; i < OBJECT_COUNT; i++) await store.writeObject(buildObjectKey(Kinds.CALLER, 'p', `c${i}`), buildCaller('p', `c${i}`, `key-${i}`), 0)
  const instances: ControlPlaneInstance[] = []
  for (let i = 0; i < count; i++) instances.push(await ControlPlaneInstance.start({ clock, name: `n${i}`, store, list, region: `r${i % 2}`, hall: `h${i % 4}` }))
  await clock.wait(600)
  await Promise.all(instances.map((instance) => instance.startSync()))
  await waitForAll(instances, (instance) => instance.replica.isComplete)
  await clock.wait(SETTLE_MS)
  const idle = await measureIdle(instances, store)
  const latencies: number[] = []
  for (let i = 0; i < CHANGE_COUNT; i++) {
    latencies.push(await measureChange(instances, store, i))
    await clock.wait(CHANGE_INTERVAL_MS)
  }
  await Promise.all(instances.map((instance) => instance.stop()))
  return { instances: count, latencies, ...idle }
}

async function measureIdle (instances: readonly ControlPlaneInstance[], store: MemoryObjectStore) {
  const countBytes = (): number => instances.reduce((sum, instance) => sum + instance.network.sentBytes, 0)
  const before = { cpu: readCpuMicros(), bytes: countBytes(), calls: store.counts.reads + store.counts.watches, at: performance.now() }
  await new Promise((resolve) => setTimeout(resolve, IDLE_MS))
  const seconds = (performance.now() - before.at) / 1000
  return {
    storeCallsPerSecond: (store.counts.reads + store.counts.watches - before.calls) / seconds,
    bytesPerInstance: (countBytes() - before.bytes) / seconds / instances.length,
    cpuShare: (readCpuMicros() - before.cpu) / 1e6 / seconds / instances.length,
  }
}

async function measureChange (instances: readonly ControlPlaneInstance[], store: MemoryObjectStore, i: number): Promise<number> {
  const key = buildObjectKey(Kinds.CALLER, 'p', `c${i}`)
  const current = (await store.readObject(key))._unsafeUnwrap()
  const started = performance.now()
  const version = (await store.writeObject(key, buildCaller('p', `c${i}`, `key-${i}`, { change: String(i) }), current?.version ?? 0))._unsafeUnwrap()
  await waitForAll(instances, (instance) => instance.replica.readVersion(key) >= version)
  return performance.now() - started
}

async function waitForAll (instances: readonly ControlPlaneInstance[], check: (instance: ControlPlaneInstance) => boolean): Promise<void> {
  const deadline = performance.now() + 30_000
  while (!instances.every(check)) {
    if (performance.now() > deadline) throw new Error('The instances did not converge')
    await new Promise((resolve) => setTimeout(resolve, 1))
  }
}
