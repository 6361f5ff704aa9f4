import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { buildObjectKey, type ConfigObject } from '@pulleystack/config.objects'
import { ConfigIndex, type ConfigReplica } from '@pulleystack/config.replica'
import { ManualClock } from '@pulleystack/core.clock'
import { ShardLease, type ShardRecord } from '@pulleystack/placement.ledger'
import { HysteresisPlanner } from '@pulleystack/placement.planner'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { EventRing } from '@pulleystack/timeline.events'
import { buildAdapter, buildModel, buildService, checkProperty, createReplica, MemoryEngines } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { LoadBudget } from '../src/LoadBudget.js'
import { ShardController } from '../src/ShardController.js'

const MEBI = 1024 ** 2
const ORDER_DELAY_MS = 900
const LONG_DELAY_MS = 880
const LEASE_MS = 3_000
const STEP_MS = 200
const SHARD_KEY = 'placement/shard/s'

interface Holder {
  controller: ShardController
  lease: ShardLease
  paused: boolean
  /** Whether this holder considers itself the shard's owner; both may do so. */
  owner: boolean
}

/** Two possible holders of one shard, and engines that reject no order and account for their own memory. */
class Bench {
  readonly clock = new ManualClock()
  readonly store = new MemoryObjectStore({ clock: this.clock })
  readonly engines = new MemoryEngines({ clock: this.clock })
  readonly replica: ConfigReplica
  readonly demand = new Map<string, number>()
  readonly servers: ListedInstance[] = []
  readonly holders: Holder[]
  /** Items that reports show for every engine; undefined if there are no reports. */
  reported: { items: { item: string }[] } | undefined
  private version = 1_000
  private ids = 0

  constructor (opts: { engines: number, memory: number, checksFences: boolean, objects: readonly ConfigObject[] }) {
    this.replica = createReplica([buildService('p', 'drafts'), ...opts.objects])
    for (let i = 0; i < opts.engines; i++) this.addEngine(i, opts.memory, opts.checksFences)
    this.holders = ['one', 'two'].map((name, i) => this.createHolder(name, i === 0))
  }

  private addEngine (i: number, memory: number, checksFences: boolean): void {
    this.engines.addEngine(`e${i}`, memory * MEBI, checksFences)
    this.servers.push({
      id: `e${i}`,
      role: InstanceRoles.ENGINE,
      address: `e${i}`,
      region: 'r',
      dataHall: `h${i % 2}`,
      leaving: false,
      labels: {},
      memoryBytes: memory * MEBI,
      checksFences,
    })
  }

  private createHolder (name: string, owner: boolean): Holder {
    const { clock, store } = this
    const lease = new ShardLease({
      clock,
      store,
      shard: 's',
      holder: name,
      leaseMs: LEASE_MS,
      orderDelayMs: ORDER_DELAY_MS,
      createOperationId: () => `${name}-${this.ids++}`,
    })
    const controller = new ShardController({
      clock,
      shard: 's',
      lease,
      index: new ConfigIndex(this.replica),
      engines: this.engines,
      planner: new HysteresisPlanner(),
      ring: new EventRing({ clock, instance: name, dataHall: 'h' }),
      budget: new LoadBudget({ clock, loadsPerSecond: 20, loadsAtOnce: 8 }),
      orderDelayMs: ORDER_DELAY_MS,
      failureTimeoutMs: 1_000,
      leaseMs: LEASE_MS,
      createId: () => `o${this.ids++}`,
      listShards: () => ['s'],
      listServers: () => this.servers,
      readDemand: (item) => this.demand.get(item) ?? 0,
      hasRejected: () => false,
      readReportedItems: () => this.reported && { ...this.reported, reportedAt: clock.readTime() },
      drain: async () => 0,
    })
    return { controller, lease, paused: false, owner }
  }

  setObject (object: ConfigObject): void {
    this.replica.applyEntry({ key: buildObjectKey(object.kind, object.partner, object.name), version: ++this.version, value: object })
  }

  hasObject (name: string): boolean {
    return this.replica.readObject(buildObjectKey('Model', 'p', name)) !== undefined
  }

  removeObject (name: string): void {
    this.replica.applyEntry({ key: buildObjectKey('Model', 'p', name), version: ++this.version, value: undefined })
  }

  async run (ms: number): Promise<void> {
    for (let at = 0; at < ms; at += STEP_MS) {
      for (const holder of this.holders) {
        if (holder.owner && !holder.paused) void holder.controller.step()
        else if (!holder.paused && holder.lease.isHeld) void holder.controller.release()
      }
      await this.clock.advance(STEP_MS)
      assert.equal(this.engines.isOvercommitted, false, 'an accelerator was overcommitted')
    }
  }

  listReady (): Set<string> {
    const items = [...this.engines.memories].flatMap(([address, memory]) => this.engines.down.has(address) ? [] : memory.listItems())
    return new Set(items.filter((item) => item.state === 'ready').map((item) => item.item))
  }

  async readLedger (): Promise<ShardRecord['servers']> {
    const read = await this.store.readObject(SHARD_KEY)
    return (read._unsafeUnwrap()?.value as ShardRecord).servers
  }
}

function listModels (sizes: readonly number[]): ConfigObject[] {
  return sizes.map((size, i) => buildModel('p', `m${i}`, { bytes: size * MEBI, tokensPerSecond: 100 }))
}

const fault = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('demand' as const), model: fc.nat(5), rate: fc.integer({ min: 0, max: 300 }) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('loseOrders' as const, 'loseOrderAnswers' as const, 'repeatOrders' as const),
      engine: fc.nat(2),
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('delay' as const), engine: fc.nat(2), ms: fc.constantFrom(0, 50, LONG_DELAY_MS) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), engine: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('engineDown' as const), engine: fc.nat(2), ms: fc.integer({ min: 200, max: 4_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause' as const), holder: fc.nat(1), ms: fc.integer({ min: 500, max: 9_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('owners' as const), one: fc.boolean(), two: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('storeDown' as const), ms: fc.integer({ min: 200, max: 8_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('loseAnswers' as const, 'loseWrites' as const), count: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('remove' as const), model: fc.nat(5) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('resize' as const), model: fc.nat(5), size: fc.integer({ min: 5, max: 45 }) }) },
)

type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never

function applyFault (bench: Bench, it: Fault): void {
  const memory = 'engine' in it ? bench.engines.memories.get(`e${it.engine}`) : undefined
  if (it.kind === 'demand') bench.demand.set(`p/m${it.model}@base`, it.rate)
  else if (it.kind === 'repeatOrders') Object.assign(memory!.faults, { repeatOrders: it.count, repeatAfterMs: LONG_DELAY_MS })
  else if (it.kind === 'loseOrders' || it.kind === 'loseOrderAnswers') memory!.faults[it.kind] += it.count
  else if (it.kind === 'delay') memory!.faults.orderDelayMs = it.ms
  else if (it.kind === 'restart') memory?.restart()
  else if (it.kind === 'engineDown') {
    bench.engines.down.add(`e${it.engine}`)
    bench.clock.setTimer(it.ms, () => bench.engines.down.delete(`e${it.engine}`))
  } else if (it.kind === 'pause') {
    const holder = bench.holders[it.holder] as Holder
    holder.paused = true
    bench.clock.setTimer(it.ms, () => {
      holder.paused = false
    })
  } else if (it.kind === 'owners') [it.one, it.two].forEach((owner, i) => ((bench.holders[i] as Holder).owner = owner))
  else if (it.kind === 'storeDown') {
    bench.store.faults.down = true
    bench.clock.setTimer(it.ms, () => {
      bench.store.faults.down = false
    })
  } else if (it.kind === 'remove') bench.removeObject(`m${it.model}`)
  else if (it.kind === 'resize') bench.setObject(buildModel('p', `m${it.model}`, { bytes: it.size * MEBI, tokensPerSecond: 100 }))
  else bench.store.faults[it.kind] += it.count
}

function clearFaults (bench: Bench): void {
  Object.assign(bench.store.faults, { down: false, delayMs: 0, loseAnswers: 0, loseWrites: 0 })
  bench.engines.down.clear()
  for (const memory of bench.engines.memories.values()) {
    Object.assign(memory.faults, { loseOrders: 0, loseOrderAnswers: 0, repeatOrders: 0, repeatAfterMs: 1, orderDelayMs: 0 })
  }
  bench.holders.forEach((holder, i) => Object.assign(holder, { paused: false, owner: i === 0 }))
}

describe('ShardController', () => {
  describe('placing', () => {
    it('loads every model and its adapters', async () => {
      const objects = [...listModels([30, 30, 30, 30]), buildAdapter('p', 'a', { model: 'm1' })]
      const bench = new Bench({ engines: 2, memory: 100, checksFences: true, objects })
      await bench.run(8_000)
      assert.deepEqual([...bench.listReady()].sort(), ['p/+a', 'p/m0@base', 'p/m1@base', 'p/m2@base', 'p/m3@base'])
    })

    it('loads an adapter that is added later beside its model', async () => {
      const bench = new Bench({ engines: 1, memory: 100, checksFences: true, objects: listModels([30]) })
      await bench.run(4_000)
      bench.setObject(buildAdapter('p', 'late', { model: 'm0' }))
      await bench.run(3_000)
      assert.ok(bench.listReady().has('p/+late'))
    })

    it('reserves memory before ordering a load, and keeps it while the outcome is unknown', async () => {
      const bench = new Bench({ engines: 1, memory: 100, checksFences: false, objects: listModels([60]) })
      bench.engines.memories.get('e0')!.faults.loseOrders = 1
      await bench.run(1_200)
      assert.equal((await bench.readLedger()).e0?.entries[0]?.bytes, 60 * MEBI)
      await bench.run(5_000)
      assert.ok(bench.listReady().has('p/m0@base'))
    })

    it('loads a new version beside the old one and then unloads the old one', async () => {
      const bench = new Bench({ engines: 1, memory: 100, checksFences: true, objects: listModels([30]) })
      await bench.run(4_000)
      bench.setObject({ kind: 'ModelVersion', partner: 'p', name: 'v2', spec: { model: 'm0', weights: 'w2', bytes: 35 * MEBI, active: true } })
      await bench.run(6_000)
      assert.deepEqual([...bench.listReady()], ['p/m0@v2'])
    })

    it('adds a second copy of a model whose demand exceeds one accelerator', async () => {
      const bench = new Bench({ engines: 2, memory: 100, checksFences: true, objects: listModels([30, 30]) })
      await bench.run(4_000)
      bench.demand.set('p/m0@base', 180)
      await bench.run(4_000)
      const holders = [...bench.engines.memories.values()].filter((memory) => memory.isReady('p/m0@base'))
      assert.equal(holders.length, 2)
    })
  })

  describe('when a model\'s declared size changes while it is resident', () => {
    // Guards against a planner that counts the new size and plans memory that the ledger cannot reserve.
    it('still finds room for a model that lost its copy', async () => {
      const bench = new Bench({ engines: 2, memory: 100, checksFences: true, objects: listModels([90, 40]) })
      await bench.run(3_000)
      bench.setObject(buildModel('p', 'm0', { bytes: 5 * MEBI, tokensPerSecond: 100 }))
      for (const memory of bench.engines.memories.values()) {
        if (memory.isReady('p/m1@base')) memory.restart()
      }
      await bench.run(5_000)
      assert.equal(bench.listReady().size, 2)
    })
  })

  describe('an engine whose inventory was never read', () => {
    // Guards against reports alone making an engine count as alive, with an empty ledger.
    it('receives no orders, even if there are reports about it', async () => {
      const bench = new Bench({ engines: 1, memory: 100, checksFences: false, objects: listModels([60]) })
      bench.engines.memories.get('e0')!.placeItem('q/unknown@base', 60 * MEBI)
      bench.reported = { items: [] }
      bench.engines.down.add('e0')
      await bench.run(3_000)
      assert.deepEqual((await bench.readLedger()).e0?.entries, [])
      bench.engines.down.delete('e0')
      await bench.run(6_000)
    })
  })

  describe('when an order is delayed', () => {
    it('keeps the memory of a load reserved while its order may still arrive', async () => {
      const bench = new Bench({ engines: 2, memory: 100, checksFences: false, objects: listModels([60, 60, 60]) })
      for (const memory of bench.engines.memories.values()) memory.faults.orderDelayMs = LONG_DELAY_MS
      await bench.run(6_000)
      assert.equal(bench.listReady().size, 2)
    })

    it('keeps the memory of a removed model reserved while its load order may be delivered again', async () => {
      const bench = new Bench({ engines: 1, memory: 100, checksFences: false, objects: listModels([60]) })
      const memory = bench.engines.memories.get('e0')!
      Object.assign(memory.faults, { repeatOrders: 1, repeatAfterMs: LONG_DELAY_MS })
      await bench.run(1_200)
      bench.removeObject('m0')
      bench.setObject(buildModel('p', 'm1', { bytes: 90 * MEBI }))
      await bench.run(5_000)
      assert.ok(memory.isReady('p/m1@base'))
    })
  })

  describe('after an engine failure', () => {
    it('loads models that lost their only copy on other engines', async () => {
      const bench = new Bench({ engines: 3, memory: 100, checksFences: true, objects: listModels([30, 30, 30]) })
      await bench.run(5_000)
      bench.engines.down.add('e0')
      await bench.run(6_000)
      assert.equal(bench.listReady().size, 3)
    })

    it('reloads the models of an engine that restarted empty', async () => {
      const bench = new Bench({ engines: 1, memory: 100, checksFences: true, objects: listModels([30, 40]) })
      await bench.run(4_000)
      bench.engines.memories.get('e0')!.restart()
      await bench.run(5_000)
      assert.equal(bench.listReady().size, 2)
    })
  })

  describe('when a holder pauses beyond its lease', () => {
    it('lets a successor take over and the former holder send no orders', async () => {
      const bench = new Bench({ engines: 2, memory: 100, checksFences: false, objects: listModels([30, 30]) })
      await bench.run(1_000)
      Object.assign(bench.holders[0]!, { paused: true })
      Object.assign(bench.holders[1]!, { owner: true })
      await bench.run(8_000)
      assert.equal(bench.holders[1]!.lease.isHeld, true)
      assert.equal(bench.holders[0]!.lease.maySendOrders, false)
      assert.equal(bench.listReady().size, 2)
    })
  })

  describe('with random faults', () => {
    it('never overcommits accelerators that are nearly full, on engines that do not check fences', async () => {
      const steps = fc.array(fc.tuple(fault, fc.integer({ min: 0, max: 6 })), { minLength: 6, maxLength: 30 })
      await checkProperty([steps, fc.array(fc.integer({ min: 20, max: 58 }), { minLength: 6, maxLength: 6 })], async (list, sizes) => {
        const bench = new Bench({ engines: 3, memory: 60, checksFences: false, objects: listModels(sizes) })
        for (const memory of bench.engines.memories.values()) memory.faults.orderDelayMs = LONG_DELAY_MS
        for (const [it, stepCount] of list) {
          applyFault(bench, it)
          await bench.run(stepCount * STEP_MS)
        }
        await bench.run(3_000)
      }, 120)
    })

    for (const checksFences of [true, false]) {
      it(`never overcommits and recovers from all faults, on engines that ${checksFences ? 'check' : 'do not check'} fences`, async () => {
        const steps = fc.array(fc.tuple(fault, fc.integer({ min: 0, max: 8 })), { minLength: 4, maxLength: 20 })
        await checkProperty([steps, fc.array(fc.integer({ min: 5, max: 45 }), { minLength: 6, maxLength: 6 })], async (list, sizes) => {
          const bench = new Bench({ engines: 3, memory: 100, checksFences, objects: listModels(sizes) })
          for (const [it, stepCount] of list) {
            applyFault(bench, it)
            await bench.run(stepCount * STEP_MS)
          }
          clearFaults(bench)
          await bench.run(20_000)
          const wanted = [0, 1, 2, 3, 4, 5].filter((i) => bench.hasObject(`m${i}`))
          assert.equal(wanted.filter((i) => bench.listReady().has(`p/m${i}@base`)).length, wanted.length, `only ${[...bench.listReady()].join(' ')} are ready`)
        }, 60)
      })
    }
  })
})
