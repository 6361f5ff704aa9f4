import { buildObjectKey, Kinds, type ConfigObject } from '@pulleystack/config.objects'
import { ConfigIndex, ConfigReplica } from '@pulleystack/config.replica'
import { ManualClock, RandomSource, SystemClock } from '@pulleystack/core.clock'
import { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { ClaimShard } from '@pulleystack/routing.claims'
import { CostPicker } from '@pulleystack/routing.picker'
import { packUpdate, RunnerTable, type RunnerUpdate } from '@pulleystack/routing.runners'
import { buildAdapter, buildCaller, buildModel, buildService } from '@pulleystack/tools.testing'
import { pack } from 'msgpackr'
import { measurePlan } from '../placement/runPlanScale.js'

/** Measures a quantity at several sizes, to fit a line to it. */
export interface SlopeTask {
  name: string
  /** What the sizes count. */
  per: string
  unit: string
  sizes: readonly number[]
  measure: (size: number) => Promise<number> | number
}

const ITEMS_PER_RUNNER = 8
const BLOCKS_PER_RUNNER = 40
const REPEATS = 20

/** Slopes that are measured within this process. */
export const slopeTasks: readonly SlopeTask[] = [
  { name: 'runnerMemory', per: 'runner', unit: 'bytes', sizes: [100, 200, 400, 800], measure: (size) => measureHeap(() => buildTable(size)) },
  { name: 'reportCpu', per: 'report', unit: 'us', sizes: [2_000, 4_000, 8_000, 16_000], measure: measureReports },
  { name: 'reportBytes', per: 'resident item', unit: 'bytes', sizes: [0, 4, 8, 16], measure: (size) => pack(packUpdate(buildUpdate(1, 1, size))).length },
  { name: 'cacheEventBytes', per: 'cache block', unit: 'bytes', sizes: [0, 10, 20, 40], measure: (size) => pack(packUpdate(buildUpdate(1, 1, 0, size))).length },
  { name: 'objectMemory', per: 'object', unit: 'bytes', sizes: [1_000, 2_000, 4_000, 8_000], measure: (size) => measureHeap(() => buildReplica(size)) },
  { name: 'modelMemory', per: 'model with a version', unit: 'bytes', sizes: [400, 800, 1_600, 3_200], measure: (size) => measureHeap(() => buildIndexedReplica(size, buildModelWithVersion)) },
  { name: 'adapterMemory', per: 'adapter', unit: 'bytes', sizes: [400, 800, 1_600, 3_200], measure: (size) => measureHeap(() => buildIndexedReplica(size, buildAdapterObjects)) },
  { name: 'serviceMemory', per: 'service', unit: 'bytes', sizes: [400, 800, 1_600, 3_200], measure: (size) => measureHeap(() => buildIndexedReplica(size, buildServiceObjects)) },
  { name: 'changeCpu', per: 'change', unit: 'us', sizes: [1_000, 2_000, 4_000, 8_000], measure: measureChanges },
  { name: 'changeBytes', per: 'change', unit: 'bytes', sizes: [1, 2, 4, 8], measure: (size) => pack(Array.from({ length: size }, (_, i) => buildEntry(i, 1))).length },
  { name: 'listCpu', per: 'listed server', unit: 'us', sizes: [1_000, 3_000, 6_000, 12_000], measure: measureList },
  { name: 'pickCpu', per: 'candidate', unit: 'us', sizes: [8, 16, 32, 64, 128], measure: measurePick },
  { name: 'claimMemory', per: 'claim held', unit: 'bytes', sizes: [4_000, 8_000, 16_000, 32_000], measure: measureClaimMemory },
  { name: 'claimCpu', per: 'claim', unit: 'us', sizes: [500, 1_000, 2_000, 4_000], measure: measureClaimCpu },
  { name: 'planMs', per: 'accelerator of a shard', unit: 'ms', sizes: [25, 50, 100, 200], measure: (size) => measurePlan(size, size * 3).ms },
]

async function measureHeap (build: () => unknown | Promise<unknown>): Promise<number> {
  collectGarbage()
  const heapBefore = process.memoryUsage().heapUsed
  const retained = await build()
  collectGarbage()
  const heapAfter = process.memoryUsage().heapUsed
  // Reading `retained` here keeps it from being garbage-collected before the measurement.
  return retained === undefined ? 0 : heapAfter - heapBefore
}

function collectGarbage (): void {
  for (let i = 0; i < 3; i++) globalThis.gc?.()
}

function buildTable (count: number): RunnerTable {
  const table = new RunnerTable()
  table.applyServers(listServers(count), 0)
  for (let i = 0; i < count; i++) table.applyUpdate(buildUpdate(i, 1, ITEMS_PER_RUNNER, BLOCKS_PER_RUNNER), 0)
  return table
}

function listServers (count: number): ListedInstance[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `engine-${i}`,
    role: InstanceRoles.ENGINE,
    address: `10.0.0.1:${i}`,
    region: `r${i % 4}`,
    dataHall: `h${i % 12}`,
    leaving: false,
    labels: { size: 'l' },
    memoryBytes: 80e9,
  }))
}

function buildUpdate (i: number, seq: number, items: number, blocks = 0): RunnerUpdate {
  const update: RunnerUpdate = {
    server: `engine-${i}`,
    life: '1',
    seq,
    everyMs: 2_000,
    ageMs: 120,
    running: 7,
    waiting: 1,
    slots: 64,
    freeBytes: 1e9,
    cacheSeq: blocks > 0 ? seq : 0,
    cacheEvents: blocks > 0 ? [{ seq, kind: 'stored', blocks: Array.from({ length: blocks }, (_, k) => (i * 7_919 + k * 104_729 + seq) >>> 0) }] : [],
  }
  if (items > 0) update.items = Array.from({ length: items }, (_, k) => ({ item: `partner/model-${(i + k) % 810}@base`, bytes: 9e9, state: 'ready' as const }))
  return update
}

function measureReports (count: number): number {
  const table = buildTable(100)
  const updates = Array.from({ length: count }, (_, i) => buildUpdate(i % 100, 2 + Math.floor(i / 100), 0, 4))
  return measureMicros(() => updates.forEach((update, i) => table.applyUpdate(update, i)))
}

function buildEntry (i: number, version: number) {
  return { key: buildObjectKey(Kinds.CALLER, 'partner', `caller-${i}`), version, value: buildCaller('partner', `caller-${i}`, `key-${i}`, { role: 'firm', change: String(version) }) }
}

function buildReplica (count: number): unknown {
  const replica = new ConfigReplica()
  const index = new ConfigIndex(replica)
  for (let i = 0; i < count; i++) replica.applyEntry(buildEntry(i, i + 1))
  return { replica, index }
}

/** Builds an indexed replica of `count` generated configurations. */
function buildIndexedReplica (count: number, build: (i: number) => ConfigObject[]): unknown {
  const replica = new ConfigReplica()
  const index = new ConfigIndex(replica)
  let version = 0
  for (let i = 0; i < count; i++) {
    for (const value of build(i)) replica.applyEntry({ key: buildObjectKey(value.kind, value.partner, value.name), version: ++version, value })
  }
  return { replica, index }
}

function buildModelWithVersion (i: number): ConfigObject[] {
  const spec = { model: `model-${i}`, weights: `partner/model-${i}/v2`, bytes: 9e9, active: true }
  return [buildModel('partner', `model-${i}`), { kind: Kinds.MODEL_VERSION, partner: 'partner', name: `model-${i}-v2`, spec }]
}

function buildAdapterObjects (i: number): ConfigObject[] {
  return [buildAdapter('partner', `adapter-${i}`, { model: `model-${i % 100}` })]
}

function buildServiceObjects (i: number): ConfigObject[] {
  return [buildService('partner', `service-${i}`, { callers: { role: ['firm', 'notary'] }, dataHalls: ['h1', 'h2'], deadlineMs: 5_000 })]
}

function measureChanges (count: number): number {
  const replica = new ConfigReplica()
  const index = new ConfigIndex(replica)
  const entries = Array.from({ length: count }, (_, i) => buildEntry(i % 500, i + 1))
  const micros = measureMicros(() => entries.forEach((entry) => replica.applyEntry(entry)))
  return index.listObjects(Kinds.CALLER).length > 0 ? micros : 0
}

function measureList (count: number): number {
  const clock = new ManualClock()
  const self = { instance: 'a', incarnation: 1, address: '', peerAddress: '', region: 'r0', dataHall: 'h0', leaving: false }
  const view = new MembershipView({ clock, self })
  const listedInstances = listServers(count)
  view.applyList(listedInstances)
  return measureMicros(() => {
    for (let i = 0; i < REPEATS; i++) view.applyList(listedInstances)
  }) / REPEATS
}

function measurePick (count: number): number {
  const table = buildTable(count)
  const picker = new CostPicker(new RandomSource(1))
  const candidates = [...table.listRunners()].map((runner) => ({
    id: runner.id,
    slots: runner.slots,
    serviceMs: runner.serviceMs,
    prefillMsPerBlock: runner.prefillMsPerBlock,
    networkMs: 0,
    estimateLoad: () => runner.estimateLoad(),
    countMatching: (blocks: readonly number[]) => runner.cache.countMatching(blocks),
  }))
  const blocks = [1, 2, 3, 4, 5, 6]
  const run = (): void => {
    for (let i = 0; i < 500; i++) picker.pick(candidates, { blocks })
  }
  run()
  return measureMicros(run) / 500
}

async function fillClaims (count: number): Promise<ClaimShard> {
  const clock = new SystemClock()
  const store = new MemoryObjectStore({ clock })
  let nextId = 0
  const shard = new ClaimShard({ clock, store, shard: 0, retentionMs: 3_600_000, commitsPerSecond: 10_000, createOperationId: () => String(nextId++) })
  const deadline = performance.now() + 60_000
  await Promise.all(Array.from({ length: count }, (_, i) => shard.claim({ key: `a-key-of-43-characters-as-base64url-has-${i}`, hash: 'h'.repeat(43), request: `r${i}`, instance: 'entry-1' }, deadline)))
  return shard
}

async function measureClaimMemory (count: number): Promise<number> {
  // Returns only the index: the emulated store is garbage-collected and not counted.
  return measureHeap(async () => {
    const shard = await fillClaims(count)
    const { index } = (shard as unknown as { log: { index: unknown } }).log
    return index
  })
}

async function measureClaimCpu (count: number): Promise<number> {
  const cpuBefore = process.cpuUsage()
  await fillClaims(count)
  const cpuUsed = process.cpuUsage(cpuBefore)
  return cpuUsed.user + cpuUsed.system
}

function measureMicros (run: () => void): number {
  const started = performance.now()
  run()
  return (performance.now() - started) * 1000
}
