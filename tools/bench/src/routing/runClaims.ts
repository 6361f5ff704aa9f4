import { RandomSource, SystemClock } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { ClaimClient } from '@pulleystack/routing.claims'
import { createView } from '@pulleystack/tools.testing'
import { readCpu } from '../BenchmarkWorker.js'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'

const NAMES = ['a', 'b', 'c', 'd']
const RATES = [10, 100, 300, 1_000]
const SECONDS = 6
const STORE_MS = 3
const NETWORK_MS = 1

/** Keyed requests a second against writes to the object API a second; the baseline writes each claim and outcome by itself. */
export async function runClaims (): Promise<void> {
  const rows: Row[] = []
  for (const rate of RATES) rows.push(await measureRate(rate))
  printReport('claims', rows, { storeMs: STORE_MS, instances: NAMES.length, shards: 4 })
}

async function measureRate (rate: number): Promise<Row> {
  const clock = new SystemClock()
  const store = new MemoryObjectStore({ clock })
  store.faults.delayMs = STORE_MS
  const hub = new FakeHub({ clock, random: new RandomSource(1) })
  hub.maxDelayMs = NETWORK_MS
  let ids = 0
  const clients = NAMES.map((name) => {
    const { view, identity } = createView(clock, name, NAMES)
    const network = hub.createNode(identity)
    return new ClaimClient({ clock, view, network, store, shards: 4, keepMs: 3_600_000, writesPerSecond: 40, createOperation: () => String(ids++) })
  })
  const latencies: number[] = []
  const cpu = readCpu()
  await sendClaims(clients, rate, latencies)
  const cpuMicros = readCpu() - cpu
  await clock.wait(500)
  const { writes, writtenBytes } = store.counts
  return {
    'keyed requests/s': rate,
    'store writes/s': roundTo(writes / SECONDS, 1),
    'baseline writes/s': rate * 2,
    'written KB/s': roundTo(writtenBytes / SECONDS / 1024, 0),
    'claim p50 ms': roundTo(computeQuantile(latencies, 0.5), 1),
    'claim p99 ms': roundTo(computeQuantile(latencies, 0.99), 1),
    'µs of cpu per request': roundTo(cpuMicros / (rate * SECONDS), 0),
    'claims held': clients.reduce((sum, client) => sum + client.size, 0),
  }
}

async function sendClaims (clients: readonly ClaimClient[], rate: number, latencies: number[]): Promise<void> {
  const total = rate * SECONDS
  const started = performance.now()
  const pending: Promise<void>[] = []
  for (let i = 0; i < total; i++) {
    const due = started + i * 1000 / rate
    if (due > performance.now()) await new Promise((resolve) => setTimeout(resolve, due - performance.now()))
    pending.push(claimOne(clients[i % clients.length] as ClaimClient, i, latencies))
  }
  await Promise.all(pending)
}

async function claimOne (client: ClaimClient, i: number, latencies: number[]): Promise<void> {
  const started = performance.now()
  const request = { key: `key-${i}`, hash: 'h', request: `r${i}`, instance: 'a' }
  await client.claim(request, started + 10_000)
  latencies.push(performance.now() - started)
  client.keepOutcome(request, { status: 200, contentType: 'application/json', body: '{"stamp":"0123456789"}' })
}
