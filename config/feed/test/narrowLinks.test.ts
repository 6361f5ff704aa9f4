import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedCluster, MAX_PROPAGATION_MS, type Node } from './FeedCluster.js'

const INSTANCE_COUNT = 16
/** A 10 Mbit/s link, less packet headers and responses to clients. */
const UPLINK_BYTES_PER_SECOND = 1_000_000
/** Size of a whole configuration in one object. */
const OBJECT_BYTES = 13_000
const WRITE_PHASE_MS = 20_000
const WRITE_INTERVAL_MS = 150
const UPDATE_DELAY_MS = 4_000
/** As in ByteBudget. */
const UPDATE_BYTES_PER_SECOND = 320_000
const UPDATE_BURST_BYTES = 128_000
/** Upper bound for the watcher's own calls of 300 bytes. */
const CALL_BYTES_PER_SECOND = 10_000
const MAX_CALLS_PER_SECOND = 3

describe('StoreFeed over narrow and slow links', () => {
  let cluster: FeedCluster
  let watcher: Node
  let others: Node[]

  /** Writes changes for a while and checks that each is applied in time on the given nodes. */
  const writeChanges = async (nodes: readonly Node[], durationMs: number, bytes = OBJECT_BYTES): Promise<void> => {
    const { clock } = cluster
    const expected: { number: number, at: number }[] = []
    const end = clock.readTime() + durationMs
    while (clock.readTime() < end) {
      expected.push({ number: await cluster.write('x', bytes), at: clock.readTime() + MAX_PROPAGATION_MS })
      await clock.advance(WRITE_INTERVAL_MS)
      while (expected[0] && expected[0].at <= clock.readTime()) checkApplied(nodes, expected.shift()?.number ?? 0)
    }
    await clock.advance(MAX_PROPAGATION_MS)
    checkApplied(nodes, expected.at(-1)?.number ?? 0)
  }
  const checkApplied = (nodes: readonly Node[], number: number): void => {
    for (const node of nodes) {
      const applied = cluster.readNumber(node, 'x')
      assert.ok(applied >= number, `${node.name} has ${applied} at ${cluster.clock.readTime()} ms, expected ${number}`)
    }
  }

  beforeEach(async () => {
    cluster = new FeedCluster(5)
    for (let at = 1; at <= INSTANCE_COUNT; at++) cluster.start(`n${at}`)
    await cluster.clock.advance(3_000)
    watcher = await cluster.findWatcher()
    others = cluster.nodes.filter((node) => node !== watcher)
  })

  it('applies every change in time while large objects change often and all links are narrow', async () => {
    for (const node of cluster.nodes) cluster.hub.setUplink(node.name, UPLINK_BYTES_PER_SECOND)
    await writeChanges(cluster.nodes, WRITE_PHASE_MS)
  })

  for (const [size, bytes] of [['large', OBJECT_BYTES], ['small', 100]] as const) {
    it(`limits the bytes on the watcher's link while ${size} objects change often`, async () => {
      cluster.hub.setUplink(watcher.name, UPLINK_BYTES_PER_SECOND)
      await writeChanges(cluster.nodes, WRITE_PHASE_MS, bytes)
      const seconds = (WRITE_PHASE_MS + MAX_PROPAGATION_MS) / 1000
      assert.ok(cluster.hub.countSentBytes(watcher.name) <= seconds * (UPDATE_BYTES_PER_SECOND + CALL_BYTES_PER_SECOND) + UPDATE_BURST_BYTES)
    })
  }

  it('limits the calls per second of each instance while large objects change often', async () => {
    const before = others.map((node) => node.path.calls)
    await writeChanges(cluster.nodes, WRITE_PHASE_MS)
    const seconds = (WRITE_PHASE_MS + MAX_PROPAGATION_MS) / 1000
    for (const [at, node] of others.entries()) assert.ok(node.path.calls - (before[at] ?? 0) <= seconds * MAX_CALLS_PER_SECOND)
  })

  it('calls the store from one instance only while small objects change', async () => {
    const before = others.map((node) => node.path.calls)
    await writeChanges(cluster.nodes, WRITE_PHASE_MS, 100)
    assert.deepEqual(others.map((node) => node.path.calls), before)
  })

  for (const state of ['failing', 'silent'] as const) {
    it(`applies every change in time on instances whose connection to the store is ${state}, while large objects change often`, async () => {
      for (const node of cluster.nodes) cluster.hub.setUplink(node.name, UPLINK_BYTES_PER_SECOND)
      for (const node of others.slice(0, 3)) node.path.state = state
      await writeChanges(cluster.nodes, WRITE_PHASE_MS)
    })
  }

  describe('with updates that are outdated when they arrive', () => {
    let delayed: Node

    beforeEach(() => {
      delayed = others[0] as Node
    })

    it('applies changes in time on an instance that receives updates seconds late', async () => {
      cluster.hub.setDelay(watcher.name, delayed.name, UPDATE_DELAY_MS)
      for (let round = 0; round < 3; round++) {
        // Updates without changes are in transit by now.
        await cluster.clock.advance(2 * UPDATE_DELAY_MS)
        const number = await cluster.write('x')
        await cluster.clock.advance(MAX_PROPAGATION_MS)
        checkApplied([delayed], number)
      }
    })

    it('applies a change in time when a stalled connection delivers its backlog and stalls again', async () => {
      const { clock, hub } = cluster
      hub.hold(watcher.name, delayed.name)
      await clock.advance(800)
      const number = await cluster.write('x')
      hub.releaseAll()
      hub.hold(watcher.name, delayed.name)
      await clock.advance(MAX_PROPAGATION_MS)
      checkApplied([delayed], number)
    })

    it('applies a change in time when a frozen process resumes and receives outdated updates first', async () => {
      const { clock, hub } = cluster
      const holdAll = (): void => cluster.nodes.forEach((node) => hub.hold(node.name, delayed.name))
      delayed.clock.freeze()
      holdAll()
      await clock.advance(UPDATE_DELAY_MS)
      const number = await cluster.write('x')
      hub.cut(watcher.name, delayed.name)
      await clock.advance(900)
      hub.releaseAll()
      holdAll()
      delayed.clock.resume()
      await clock.advance(MAX_PROPAGATION_MS - 900)
      checkApplied([delayed], number)
    })
  })

  describe('with different clocks', () => {
    it('applies changes in time, with calls from one instance only', async () => {
      cluster = new FeedCluster(5)
      for (let at = 1; at <= INSTANCE_COUNT; at++) cluster.start(`n${at}`, { offsetMs: (at % 5 - 2) * 1_000_000 })
      const caller = await cluster.findWatcher()
      const before = cluster.nodes.map((node) => node.path.calls)
      const number = await cluster.write('x')
      await cluster.clock.advance(MAX_PROPAGATION_MS)
      checkApplied(cluster.nodes, number)
      for (const [at, node] of cluster.nodes.entries()) if (node !== caller) assert.equal(node.path.calls, before[at])
    })

    it('applies changes in time on instances that do not know the clocks of others', async () => {
      cluster = new FeedCluster(5)
      for (let at = 1; at <= INSTANCE_COUNT; at++) cluster.start(`n${at}`, { offsetMs: at * 1_000_000, isClockKnown: false })
      await cluster.clock.advance(3_000)
      const number = await cluster.write('x')
      await cluster.clock.advance(MAX_PROPAGATION_MS)
      checkApplied(cluster.nodes, number)
      for (const node of cluster.nodes) assert.ok(node.feed.ageMs < MAX_PROPAGATION_MS)
    })
  })

  describe('on an instance that starts while the store is unavailable', () => {
    it('reports a replica loaded from a peer as no fresher than the peer\'s', async () => {
      for (const node of cluster.nodes) node.path.state = 'failing'
      await cluster.clock.advance(3_000)
      const fresh = cluster.start('n0', { state: 'failing' })
      await cluster.clock.advance(1_000)
      assert.equal(fresh.feed.newestRevision, watcher.feed.newestRevision)
      assert.ok(fresh.feed.ageMs >= Math.min(...cluster.nodes.filter((node) => node !== fresh).map((node) => node.feed.ageMs)))
    })
  })
})
