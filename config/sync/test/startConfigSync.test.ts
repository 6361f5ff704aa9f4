import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { buildObjectKey, Kinds } from '@pulleystack/config.objects'
import { ConfigReplica } from '@pulleystack/config.replica'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import type { MembershipView } from '@pulleystack/membership.view'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { buildCaller, checkProperty, createView, MortalStore } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { startConfigSync } from '../src/index.js'

const NAMES = ['a', 'b', 'c', 'd', 'e']
const OBJECTS = 5

interface Node {
  name: string
  replica: ConfigReplica
  store: MortalStore
  view: MembershipView
  abort: AbortController
}

/** Instances that follow one store; records every version that goes back on an instance. */
class SyncCluster {
  readonly clock = new ManualClock()
  readonly store = new MemoryObjectStore({ clock: this.clock })
  readonly hub = new FakeHub({ clock: this.clock, random: new RandomSource(11) })
  readonly nodes = new Map<string, Node>()
  reversions: string[] = []
  private writes = 0

  start (name: string): Node {
    const { view, identity } = createView(this.clock, name, NAMES)
    const node: Node = { name, replica: new ConfigReplica(), store: new MortalStore(this.store), view, abort: new AbortController() }
    this.nodes.set(name, node)
    this.recordVersions(node)
    const network = this.hub.createNode(identity)
    const { replica, store } = node
    startConfigSync({ clock: this.clock, random: new RandomSource(3), replica, store, network, view, digestMs: 500 }, node.abort.signal)
    return node
  }

  stop (name: string): void {
    const node = this.nodes.get(name)
    if (!node) return
    node.store.dead = true
    node.abort.abort()
    this.nodes.delete(name)
    this.hub.removeNode(name)
  }

  async write (i: number): Promise<void> {
    const key = buildObjectKey(Kinds.CALLER, 'p', `c${i}`)
    const version = (await this.store.readObject(key)).unwrapOr(undefined)?.version ?? 0
    await this.store.writeObject(key, buildCaller('p', `c${i}`, `key-${i}`, { write: String(++this.writes) }), version)
  }

  async remove (i: number): Promise<void> {
    const key = buildObjectKey(Kinds.CALLER, 'p', `c${i}`)
    const version = (await this.store.readObject(key)).unwrapOr(undefined)?.version
    if (version !== undefined) await this.store.deleteObject(key, version)
  }

  async readTruth (): Promise<string> {
    const listing = (await this.store.listObjects('config/'))._unsafeUnwrap()
    return describeAll(listing.objects.map((object) => [object.key, object.version]))
  }

  describeNode (node: Node): string {
    const entries = Array.from({ length: OBJECTS }, (_, i) => buildObjectKey(Kinds.CALLER, 'p', `c${i}`))
    return describeAll(entries.filter((key) => node.replica.readObject(key)).map((key) => [key, node.replica.readVersion(key)]))
  }

  private recordVersions (node: Node): void {
    const highest = new Map<string, number>()
    node.replica.changes.subscribe((change) => {
      if (change.version < (highest.get(change.key) ?? 0)) this.reversions.push(`${node.name}: ${change.key} went back to ${change.version}`)
      highest.set(change.key, change.version)
    })
  }
}

function describeAll (entries: [string, number][]): string {
  return entries.map(([key, version]) => `${key}@${version}`).sort().join(' ')
}

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('write' as const), i: fc.nat(OBJECTS - 1) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('remove' as const), i: fc.nat(OBJECTS - 1) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('restart' as const), node: fc.constantFrom(...NAMES) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('stop' as const), node: fc.constantFrom(...NAMES) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('cut' as const), a: fc.constantFrom(...NAMES), b: fc.constantFrom(...NAMES) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('network' as const), loss: fc.constantFrom(0, 0.2, 0.6), repeat: fc.constantFrom(0, 0.3), delay: fc.constantFrom(0, 300, 3_000) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('storeDown' as const), down: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('compact' as const) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('watch' as const), gapEvery: fc.constantFrom(0, 2, 3), reorder: fc.boolean() }) },
)

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

async function runStep (cluster: SyncCluster, it: Step): Promise<void> {
  if (it.do === 'write') await cluster.write(it.i)
  else if (it.do === 'remove') await cluster.remove(it.i)
  else if (it.do === 'stop') cluster.stop(it.node)
  else if (it.do === 'restart') {
    cluster.stop(it.node)
    cluster.start(it.node)
  } else if (it.do === 'cut') cluster.hub.cut(it.a, it.b)
  else if (it.do === 'heal') cluster.hub.clearPartitions()
  else if (it.do === 'network') Object.assign(cluster.hub, { lossProbability: it.loss, duplicateProbability: it.repeat, maxDelayMs: it.delay })
  else if (it.do === 'storeDown') cluster.store.faults.down = it.down
  else if (it.do === 'compact') cluster.store.compact()
  else Object.assign(cluster.store.faults, { gapEvery: it.gapEvery, reorder: it.reorder })
}

describe('startConfigSync', () => {
  it('brings a change to every instance within 300 ms when nothing fails', async () => {
    const cluster = new SyncCluster()
    NAMES.forEach((name) => cluster.start(name))
    await cluster.clock.advance(2_000)
    await cluster.write(1)
    await cluster.clock.advance(300)
    const truth = await cluster.readTruth()
    for (const node of cluster.nodes.values()) assert.equal(cluster.describeNode(node), truth)
  })

  it('loads the configuration of a new instance from peers while the store is down', async () => {
    const cluster = new SyncCluster()
    NAMES.slice(0, 3).forEach((name) => cluster.start(name))
    await cluster.write(0)
    await cluster.clock.advance(3_000)
    cluster.store.faults.down = true
    const fresh = cluster.start('e')
    await cluster.clock.advance(2_000)
    assert.equal(fresh.replica.isComplete, true)
    assert.equal(cluster.describeNode(fresh), cluster.describeNode(cluster.nodes.get('a') as Node))
  })

  it('is not complete without the store or a complete peer', async () => {
    const cluster = new SyncCluster()
    cluster.store.faults.down = true
    const nodes = ['a', 'b'].map((name) => cluster.start(name))
    await cluster.clock.advance(10_000)
    assert.deepEqual(nodes.map((node) => node.replica.isComplete), [false, false])
  })

  it('limits the number of watchers', async () => {
    const cluster = new SyncCluster()
    NAMES.forEach((name) => cluster.start(name))
    await cluster.clock.advance(60_000)
    assert.ok(cluster.store.counts.watches <= 2 * 4, `${cluster.store.counts.watches} watch calls in a minute`)
  })

  it('converges after any faults and never goes back to an older version', async () => {
    const steps = fc.array(fc.tuple(step, fc.constantFrom(0, 50, 400, 2_000)), { minLength: 5, maxLength: 30 })
    await checkProperty([steps], async (list) => {
      const cluster = new SyncCluster()
      NAMES.forEach((name) => cluster.start(name))
      for (const [it, waitMs] of list) {
        await runStep(cluster, it)
        await cluster.clock.advance(waitMs)
      }
      Object.assign(cluster.hub, { lossProbability: 0, duplicateProbability: 0, maxDelayMs: 5 })
      cluster.hub.clearPartitions()
      Object.assign(cluster.store.faults, { down: false, gapEvery: 0, reorder: false })
      NAMES.filter((name) => !cluster.nodes.has(name)).forEach((name) => cluster.start(name))
      // Changes that all watches missed arrive with the next listing.
      await cluster.clock.advance(45_000)
      const truth = await cluster.readTruth()
      for (const node of cluster.nodes.values()) assert.equal(cluster.describeNode(node), truth, `${node.name} differs`)
      assert.deepEqual(cluster.reversions, [])
      cluster.nodes.forEach((node) => node.abort.abort())
    }, 50)
  })
})
