import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { buildVersion } from '@pulleystack/backend.interfaces'
import type { StoreSnapshot } from '@pulleystack/emulator.stand-ins'
import fc from 'fast-check'
import { UPDATE } from '../src/channels.js'
import { FeedCluster, MAX_PROPAGATION_MS, PREFIX, type Node } from './FeedCluster.js'

/** PULLEYSTACK_EXPLORE=1 runs many more. */
const RESTORED_RUNS = process.env['PULLEYSTACK_EXPLORE'] === undefined ? 30 : 2_000
const NAMES = ['n1', 'n2', 'n3', 'n4', 'n5']

describe('StoreFeed on several instances', () => {
  let cluster: FeedCluster
  let nodes: Node[]

  const write = (name: string): Promise<number> => cluster.write(name)

  beforeEach(async () => {
    cluster = new FeedCluster(3)
    nodes = cluster.nodes
    for (const name of NAMES) cluster.start(name)
    await cluster.clock.advance(3_000)
  })

  it('calls the store from one instance only while nothing fails', async () => {
    const before = nodes.map((node) => node.path.calls)
    await cluster.clock.advance(10_000)
    const callers = nodes.filter((node, at) => node.path.calls > (before[at] ?? 0))
    assert.equal(callers.length, 1)
  })

  it('applies a change on all instances within 200 ms', async () => {
    const value = await write('x')
    await cluster.clock.advance(200)
    assert.deepEqual(nodes.map((node) => node.values.get(`${PREFIX}x`)), NAMES.map(() => value))
  })

  for (const state of ['silent', 'failing'] as const) {
    it(`applies changes in time when the watcher's connection to the store is ${state}`, async () => {
      const watcher = await cluster.findWatcher()
      watcher.path.state = state
      for (let round = 0; round < 6; round++) {
        const value = await write('x')
        await cluster.clock.advance(MAX_PROPAGATION_MS)
        for (const node of nodes) if (node !== watcher) assert.equal(node.values.get(`${PREFIX}x`), value, `${node.name} in round ${round}`)
      }
    })
  }

  it('applies a change in time when the watcher crashes', async () => {
    const watcher = await cluster.findWatcher()
    watcher.abort.abort()
    cluster.hub.removeNode(watcher.name)
    const value = await write('x')
    await cluster.clock.advance(MAX_PROPAGATION_MS)
    for (const node of nodes) if (node !== watcher) assert.equal(node.values.get(`${PREFIX}x`), value)
  })

  it('applies a change in time on an instance that is disconnected from all others', async () => {
    const watcher = await cluster.findWatcher()
    const isolated = nodes.find((node) => node !== watcher) as Node
    for (const node of nodes) if (node !== isolated) cluster.hub.cut(isolated.name, node.name)
    const value = await write('x')
    await cluster.clock.advance(MAX_PROPAGATION_MS)
    assert.equal(isolated.values.get(`${PREFIX}x`), value)
  })

  it('loads a replica from a peer when an instance starts while the store is unavailable', async () => {
    const value = await write('x')
    await cluster.clock.advance(500)
    for (const node of nodes) node.path.state = 'failing'
    const last = nodes[4] as Node
    last.abort.abort()
    cluster.hub.removeNode(last.name)
    const fresh = cluster.start('n6', { state: 'failing' })
    await cluster.clock.advance(2_000)
    assert.equal(fresh.values.get(`${PREFIX}x`), value)
  })

  it('applies versions in order and converges despite lost, repeated and reordered messages and partitions', async () => {
    const step = fc.record({ kind: fc.constantFrom('write', 'writeLarge', 'cut', 'heal', 'silent', 'good', 'compact', 'pass'), node: fc.nat(4), other: fc.nat(4) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), fc.integer(), async (steps, seed) => {
      cluster = new FeedCluster(seed)
      const { clock, shared, hub, nodes } = cluster
      hub.lossProbability = 0.2
      hub.duplicateProbability = 0.2
      hub.maxDelayMs = 300
      for (const name of NAMES) cluster.start(name)
      for (const { kind, node, other } of steps) {
        if (kind === 'write') await write(`k${node}`)
        else if (kind === 'writeLarge') await cluster.write(`k${node}`, 40_000)
        else if (kind === 'cut') hub.cut(NAMES[node] as string, NAMES[other] as string)
        else if (kind === 'heal') hub.clearPartitions()
        else if (kind === 'compact') shared.compact()
        else if (kind === 'silent' || kind === 'good') (nodes[node] as Node).path.state = kind
        await clock.advance(250)
      }
      for (const node of nodes) node.path.state = 'good'
      await clock.advance(5_000)
      const truth = (await shared.listObjects(PREFIX))._unsafeUnwrap().objects.map((object) => [object.key, object.value]).sort()
      for (const node of nodes) {
        assert.deepEqual([...node.values].sort(), truth)
        assert.deepEqual(node.appliedVersions, [...node.appliedVersions].sort((a, b) => a - b))
        node.abort.abort()
      }
    }), { numRuns: 15, seed: 11 })
  })

  describe('when the store is restored from an older snapshot', () => {
    const OBJECTS = 20
    const readAll = async (): Promise<unknown[][]> => {
      const { objects } = (await cluster.shared.listObjects(PREFIX))._unsafeUnwrap()
      return objects.map(({ key, value }) => [key, value]).sort()
    }
    let backup: StoreSnapshot

    beforeEach(async () => {
      for (let at = 0; at < OBJECTS; at++) await write(`k${at}`)
      backup = cluster.shared.takeSnapshot()
      for (let at = 0; at < OBJECTS; at++) await write(`k${at}`)
      await cluster.clock.advance(1_000)
    })

    // Guards against replicas that reject the restored store's lower revisions.
    it('applies a change in time', async () => {
      cluster.shared.restore(backup)
      const value = await write('x')
      await cluster.clock.advance(MAX_PROPAGATION_MS)
      for (const node of nodes) assert.equal(node.values.get(`${PREFIX}x`), value, node.name)
    })

    it('calls the store from the watcher only, which updates the others', async () => {
      const before = nodes.map((node) => node.path.calls)
      cluster.shared.restore(backup)
      await cluster.clock.advance(2_000)
      assert.deepEqual(await Promise.all(nodes.map((node) => [...node.values].sort())), Array(NAMES.length).fill(await readAll()))
      assert.equal(nodes.filter((node, at) => node.path.calls > (before[at] ?? 0)).length, 1)
    })

    // Guards against replicas that keep objects which the store lost and the sender of the update never had.
    it('lists the store on instances that were ahead of the sender of an update', async () => {
      const stranger = cluster.hub.createNode({ instance: 'n9', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
      cluster.shared.restore(backup)
      const update = { prefix: PREFIX, from: backup.version, to: cluster.shared.currentVersion, knownAt: cluster.clock.readTime(), changes: [] }
      for (const node of nodes) stranger.send(node.name, UPDATE, update)
      await cluster.clock.advance(MAX_PROPAGATION_MS)
      for (const node of nodes) assert.deepEqual([...node.values].sort(), await readAll(), node.name)
    })

    it('brings an instance up to date that missed the newest changes', async () => {
      const behind = nodes.find((node) => node !== nodes[0]) as Node
      for (const node of nodes) if (node !== behind) cluster.hub.cut(behind.name, node.name)
      behind.path.state = 'silent'
      await write('k1')
      await cluster.clock.advance(1_000)
      cluster.shared.restore(backup)
      cluster.hub.clearPartitions()
      behind.path.state = 'good'
      await cluster.clock.advance(3_000)
      assert.deepEqual([...behind.values].sort(), await readAll())
    })
  })

  // Guards against one wrong message after which a replica rejects every response of the store.
  it('returns to the state of the store after a peer sent a change that was never in the store', async () => {
    const value = await write('x')
    const stranger = cluster.hub.createNode({ instance: 'n9', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const to = buildVersion(7, 9_000)
    for (const node of nodes) {
      const from = node.feed.newestRevision
      const changes = [{ key: `${PREFIX}x`, version: to, value: 'wrong' }]
      stranger.send(node.name, UPDATE, { prefix: PREFIX, from, to, knownAt: cluster.clock.readTime(), changes })
    }
    await cluster.clock.advance(100)
    cluster.hub.removeNode('n9')
    await cluster.clock.advance(6_000)
    for (const node of nodes) assert.equal(node.values.get(`${PREFIX}x`), value, node.name)
  })

  it('converges despite lost, repeated and reordered messages, partitions and restores from older snapshots', async () => {
    const kinds = ['write', 'write', 'cut', 'heal', 'silent', 'failing', 'good', 'compact', 'copy', 'restore', 'pass'] as const
    const step = fc.record({ kind: fc.constantFrom(...kinds), node: fc.nat(4), other: fc.nat(4) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), fc.integer(), async (steps, seed) => {
      cluster = new FeedCluster(seed)
      const { clock, shared, hub } = cluster
      hub.lossProbability = 0.2
      hub.duplicateProbability = 0.2
      hub.maxDelayMs = 300
      for (const name of NAMES) cluster.start(name)
      let copy = shared.takeSnapshot()
      for (const { kind, node, other } of steps) {
        if (kind === 'write') await cluster.write(`k${node}`)
        else if (kind === 'cut') hub.cut(NAMES[node] as string, NAMES[other] as string)
        else if (kind === 'heal') hub.clearPartitions()
        else if (kind === 'compact') shared.compact()
        else if (kind === 'copy') copy = shared.takeSnapshot()
        else if (kind === 'restore') shared.restore(copy)
        else if (kind !== 'pass') (cluster.nodes[node] as Node).path.state = kind
        await clock.advance(250)
      }
      for (const node of cluster.nodes) node.path.state = 'good'
      await clock.advance(5_000)
      const truth = (await shared.listObjects(PREFIX))._unsafeUnwrap().objects.map((object) => [object.key, object.value]).sort()
      for (const node of cluster.nodes) {
        assert.deepEqual([...node.values].sort(), truth)
        assert.deepEqual(node.appliedVersions, [...node.appliedVersions].sort((a, b) => a - b))
        node.abort.abort()
      }
    }), { numRuns: RESTORED_RUNS, seed: 59 })
  })
})
