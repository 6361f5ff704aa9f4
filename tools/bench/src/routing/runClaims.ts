import { RandomSource, SystemClock } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { ClaimClient } from '@pulleystack/routing.claims'
import { createView } from '@pulleystack/tools.testing'
import { readCpuMicros } from '../BenchmarkWorker.js'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'

const INSTANCE_NAMES = ['a', 'b', 'c', 'd']
const REQUESTS_PER_SECOND = [10, 100, 300, 1_000]
const DURATION_SECONDS = 6
const STORE_DELAY_MS = 3
const NETWORK_DELAY_MS = 1

/** Measures object API writes per second by keyed requests per second; the baseline writes each claim and outcome separately. */
export async function runClaims (): Promise<void> {
  const rows: Row[] = []
  for (const rate of REQUESTS_PER_SECOND) rows.push(await measureRate(rate))
  printReport('claims', rows, { storeMs: STORE_DELAY_MS, instances: INSTANCE_NAMES.length, shards: 4 })
}

async function measureRate (rate: number): Promise<Row> {
  const clock = new SystemClock()
  const store = new MemoryObjectStore({ clock })
  store.faults.delayMs = STORE_DELAY_MS
  const hub = new FakeHub({ clock, random: new RandomSource(1) })
  hub.maxDelayMs = NETWORK_DELAY_MS
  let nextId = 0
  const clients = INSTANCE_NAMES.map((name) => {
    const { view, identity } = createView(clock, name, INSTANCE_NAMES)
    const network = hub.createNode(identity)
    return new ClaimClient({ clock, view, network, store, shards: 4, retentionMs: 3_600_000, writesPerSecond: 40, createOperationId: () => String(nextId++) })
  })
  const latencies: number[] = []
  const cpuBefore = readCpuMicros()
  await sendClaims(clients, rate, latencies)
  const cpuMicros = readCpuMicros() - cpuBefore
  await clock.wait(500)
  const { writes, writtenBytes } = store.counts
  return {
    'keyed requests/s': rate,
    'store writes/s': roundTo(writes / DURATION_SECONDS, 1),
    'baseline writes/s': rate * 2,
    'written KB/s': roundTo(writtenBytes / DURATION_SECONDS / 1024, 0),
    'claim p50 ms': roundTo(computeQuantile(latencies, 0.5), 1),
    'claim p99 ms': roundTo(computeQuantile(latencies, 0.99), 1),
    'µs of cpu per request': roundTo(cpuMicros / (rate * DURATION_SECONDS), 0),
    'claims held': clients.reduce((sum, client) => sum + client.size, 0),
  }
}

async function sendClaims (clients: readonly ClaimClient[], rate: number, latencies: number[]): Promise<void> {
  const total = rate * DURATION_SECONDS
  const started = performance.now()
  const pending: Promise<void>[] = []
  for (let i = 0; i < total; i++) {
    const dueAt = started + i * 1000 / rate
    if (dueAt > performance.now()) await new Promise((resolve) => setTimeout(resolve, dueAt - performance.now()))
    pending.push(claimOne(clients[i % clients.length] as ClaimClient, i, latencies))
  }
  await Promise.all(pending)
}

async function claimOne (client: ClaimClient, i: number, latencies: number[]): Promise<void> {
  const started = performance.now()
  const request = { key: `key-${i}`, hash: 'h', request: `r${i}`, instance: 'a' }
  await client.claim(request, started + 10_000)
  latencies.push(performance.now() - started)
  client.storeOutcome(request, { status: 200, contentType: 'application/json', body: '{"stamp":"0123456789"}' })
}
