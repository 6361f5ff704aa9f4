import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { buildVersion } from '@pulleystack/backend.interfaces'
import type { MemoryCopy } from '@pulleystack/emulator.stand-ins'
import fc from 'fast-check'
import { NEWS } from '../src/channels.js'
import { FeedBench, IN_FORCE_MS, PREFIX, type Node } from './FeedBench.js'

/** By hand PULLEYSTACK_EXPLORE=1 plays many more. */
const RESTORED_RUNS = process.env['PULLEYSTACK_EXPLORE'] === undefined ? 30 : 2_000
const NAMES = ['n1', 'n2', 'n3', 'n4', 'n5']

describe('a feed of the store over several instances', () => {
  let bench: FeedBench
  let nodes: Node[]

  const write = (name: string): Promise<number> => bench.write(name)

  beforeEach(async () => {
    bench = new FeedBench(3)
    nodes = bench.nodes
    for (const name of NAMES) bench.start(name)
    await bench.clock.advance(3_000)
  })

  it('is asked for by one instance only while all is well', async () => {
    const before = nodes.map((node) => node.path.calls)
    await bench.clock.advance(10_000)
    const asking = nodes.filter((node, at) => node.path.calls > (before[at] ?? 0))
    assert.equal(asking.length, 1)
  })

  it('has every change in force on all instances in a fraction of a second', async () => {
    const value = await write('x')
    await bench.clock.advance(200)
    assert.deepEqual(nodes.map((node) => node.values.get(`${PREFIX}x`)), NAMES.map(() => value))
  })

  for (const state of ['silent', 'failing'] as const) {
    it(`has changes in force within the bound when the watcher's path to the store is ${state}`, async () => {
      const watcher = await bench.findWatcher()
      watcher.path.state = state
      for (let round = 0; round < 6; round++) {
        const value = await write('x')
        await bench.clock.advance(IN_FORCE_MS)
        for (const node of nodes) if (node !== watcher) assert.equal(node.values.get(`${PREFIX}x`), value, `${node.name} in round ${round}`)
      }
    })
  }

  it('has changes in force within the bound when the watcher dies', async () => {
    const watcher = await bench.findWatcher()
    watcher.ended.abort()
    bench.hub.removeNode(watcher.name)
    const value = await write('x')
    await bench.clock.advance(IN_FORCE_MS)
    for (const node of nodes) if (node !== watcher) assert.equal(node.values.get(`${PREFIX}x`), value)
  })

  it('has changes in force within the bound on an instance that no other reaches', async () => {
    const watcher = await bench.findWatcher()
    const alone = nodes.find((node) => node !== watcher) as Node
    for (const node of nodes) if (node !== alone) bench.hub.cut(alone.name, node.name)
    const value = await write('x')
    await bench.clock.advance(IN_FORCE_MS)
    assert.equal(alone.values.get(`${PREFIX}x`), value)
  })

  it('is given by a peer to an instance that starts while the store is away', async () => {
    const value = await write('x')
    await bench.clock.advance(500)
    for (const node of nodes) node.path.state = 'failing'
    const last = nodes[4] as Node
    last.ended.abort()
    bench.hub.removeNode(last.name)
    const fresh = bench.start('n6', { state: 'failing' })
    await bench.clock.advance(2_000)
    assert.equal(fresh.values.get(`${PREFIX}x`), value)
  })

  it('never goes back and ends alike, whatever is lost, repeated, overtaken or cut', async () => {
    const step = fc.record({ kind: fc.constantFrom('write', 'writeLarge', 'cut', 'heal', 'silent', 'good', 'compact', 'pass'), node: fc.nat(4), other: fc.nat(4) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), fc.integer(), async (steps, seed) => {
      bench = new FeedBench(seed)
      const { clock, shared, hub, nodes } = bench
      hub.lossShare = 0.2
      hub.repeatShare = 0.2
      hub.maxDelayMs = 300
      for (const name of NAMES) bench.start(name)
      for (const { kind, node, other } of steps) {
        if (kind === 'write') await write(`k${node}`)
        else if (kind === 'writeLarge') await bench.write(`k${node}`, 40_000)
        else if (kind === 'cut') hub.cut(NAMES[node] as string, NAMES[other] as string)
        else if (kind === 'heal') hub.healAll()
        else if (kind === 'compact') shared.compact()
        else if (kind === 'silent' || kind === 'good') (nodes[node] as Node).path.state = kind
        await clock.advance(250)
      }
      for (const node of nodes) node.path.state = 'good'
      await clock.advance(5_000)
      const truth = (await shared.listObjects(PREFIX))._unsafeUnwrap().objects.map((object) => [object.key, object.value]).sort()
      for (const node of nodes) {
        assert.deepEqual([...node.values].sort(), truth)
        assert.deepEqual(node.taken, [...node.taken].sort((a, b) => a - b))
        node.ended.abort()
      }
    }), { numRuns: 15, seed: 11 })
  })

  describe('when the store comes back from an older copy', () => {
    const OBJECTS = 20
    const readAll = async (): Promise<unknown[][]> => {
      const { objects } = (await bench.shared.listObjects(PREFIX))._unsafeUnwrap()
      return objects.map(({ key, value }) => [key, value]).sort()
    }
    let copy: MemoryCopy

    beforeEach(async () => {
      for (let at = 0; at < OBJECTS; at++) await write(`k${at}`)
      copy = bench.shared.takeCopy()
      for (let at = 0; at < OBJECTS; at++) await write(`k${at}`)
      await bench.clock.advance(1_000)
    })

    // Guards against copies that refuse what the store counts anew.
    it('has changes in force within the bound', async () => {
      bench.shared.restore(copy)
      const value = await write('x')
      await bench.clock.advance(IN_FORCE_MS)
      for (const node of nodes) assert.equal(node.values.get(`${PREFIX}x`), value, node.name)
    })

    it('is asked by the instance that watches, which tells the others', async () => {
      const before = nodes.map((node) => node.path.calls)
      bench.shared.restore(copy)
      await bench.clock.advance(2_000)
      assert.deepEqual(await Promise.all(nodes.map((node) => [...node.values].sort())), Array(NAMES.length).fill(await readAll()))
      assert.equal(nodes.filter((node, at) => node.path.calls > (before[at] ?? 0)).length, 1)
    })

    // Guards against copies that keep what the store has lost, since the one that tells of the new epoch never had it.
    it('is listed by those that held more than the one that tells of it', async () => {
      const stranger = bench.hub.createNode({ instance: 'n9', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
      bench.shared.restore(copy)
      const news = { prefix: PREFIX, from: copy.version, to: bench.shared.currentVersion, knownAt: bench.clock.readTime(), changes: [] }
      for (const node of nodes) stranger.send(node.name, NEWS, news)
      await bench.clock.advance(IN_FORCE_MS)
      for (const node of nodes) assert.deepEqual([...node.values].sort(), await readAll(), node.name)
    })

    it('is followed by an instance that had missed the newest changes', async () => {
      const behind = nodes.find((node) => node !== nodes[0]) as Node
      for (const node of nodes) if (node !== behind) bench.hub.cut(behind.name, node.name)
      behind.path.state = 'silent'
      await write('k1')
      await bench.clock.advance(1_000)
      bench.shared.restore(copy)
      bench.hub.healAll()
      behind.path.state = 'good'
      await bench.clock.advance(3_000)
      assert.deepEqual([...behind.values].sort(), await readAll())
    })
  })

  // Guards against one wrong message after which a copy refuses all that the store says.
  it('is what the store says again after a peer told of what the store never had', async () => {
    const value = await write('x')
    const stranger = bench.hub.createNode({ instance: 'n9', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const to = buildVersion(7, 9_000)
    for (const node of nodes) {
      const from = node.feed.newestRevision
      const changes = [{ key: `${PREFIX}x`, version: to, value: 'wrong' }]
      stranger.send(node.name, NEWS, { prefix: PREFIX, from, to, knownAt: bench.clock.readTime(), changes })
    }
    await bench.clock.advance(100)
    bench.hub.removeNode('n9')
    await bench.clock.advance(6_000)
    for (const node of nodes) assert.equal(node.values.get(`${PREFIX}x`), value, node.name)
  })

  it('ends like the store, whatever is lost, repeated, overtaken or cut and however often it comes back from an older copy', async () => {
    const kinds = ['write', 'write', 'cut', 'heal', 'silent', 'failing', 'good', 'compact', 'copy', 'restore', 'pass'] as const
    const step = fc.record({ kind: fc.constantFrom(...kinds), node: fc.nat(4), other: fc.nat(4) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), fc.integer(), async (steps, seed) => {
      bench = new FeedBench(seed)
      const { clock, shared, hub } = bench
      hub.lossShare = 0.2
      hub.repeatShare = 0.2
      hub.maxDelayMs = 300
      for (const name of NAMES) bench.start(name)
      let copy = shared.takeCopy()
      for (const { kind, node, other } of steps) {
        if (kind === 'write') await bench.write(`k${node}`)
        else if (kind === 'cut') hub.cut(NAMES[node] as string, NAMES[other] as string)
        else if (kind === 'heal') hub.healAll()
        else if (kind === 'compact') shared.compact()
        else if (kind === 'copy') copy = shared.takeCopy()
        else if (kind === 'restore') shared.restore(copy)
        else if (kind !== 'pass') (bench.nodes[node] as Node).path.state = kind
        await clock.advance(250)
      }
      for (const node of bench.nodes) node.path.state = 'good'
      await clock.advance(5_000)
      const truth = (await shared.listObjects(PREFIX))._unsafeUnwrap().objects.map((object) => [object.key, object.value]).sort()
      for (const node of bench.nodes) {
        assert.deepEqual([...node.values].sort(), truth)
        assert.deepEqual(node.taken, [...node.taken].sort((a, b) => a - b))
        node.ended.abort()
      }
    }), { numRuns: RESTORED_RUNS, seed: 59 })
  })
})
