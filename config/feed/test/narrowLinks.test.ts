import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedBench, IN_FORCE_MS, type Node } from './FeedBench.js'

const COUNT = 16
/** What a link of 10 Mbit/s carries beside heads of packets and answers to clients. */
const UPLINK_BYTES_PER_SECOND = 1_000_000
/** A whole configuration in one object. */
const OBJECT_BYTES = 13_000
const STORM_MS = 20_000
const CHANGE_EVERY_MS = 150
const LATE_NEWS_MS = 4_000
/** A quarter of 10 Mbit/s, and what may go at once. */
const NEWS_BYTES_PER_SECOND = 320_000
const NEWS_BURST_BYTES = 128_000
/** The watcher's own calls, of 300 bytes, are few beside that. */
const CALLS_BYTES_PER_SECOND = 10_000
const MAX_CALLS_PER_SECOND = 3

describe('a feed of the store over narrow and slow links', () => {
  let bench: FeedBench
  let watcher: Node
  let others: Node[]

  /** Writes one change after the other; each has to be in force in time on the nodes given. */
  const bringChanges = async (nodes: readonly Node[], forMs: number, bytes = OBJECT_BYTES): Promise<void> => {
    const { clock } = bench
    const due: { number: number, at: number }[] = []
    const end = clock.readTime() + forMs
    while (clock.readTime() < end) {
      due.push({ number: await bench.write('x', bytes), at: clock.readTime() + IN_FORCE_MS })
      await clock.advance(CHANGE_EVERY_MS)
      while (due[0] && due[0].at <= clock.readTime()) checkInForce(nodes, due.shift()?.number ?? 0)
    }
    await clock.advance(IN_FORCE_MS)
    checkInForce(nodes, due.at(-1)?.number ?? 0)
  }
  const checkInForce = (nodes: readonly Node[], number: number): void => {
    for (const node of nodes) {
      const has = bench.readNumber(node, 'x')
      assert.ok(has >= number, `${node.name} has ${has} at ${bench.clock.readTime()} ms, ${number} was due`)
    }
  }

  beforeEach(async () => {
    bench = new FeedBench(5)
    for (let at = 1; at <= COUNT; at++) bench.start(`n${at}`)
    await bench.clock.advance(3_000)
    watcher = await bench.findWatcher()
    others = bench.nodes.filter((node) => node !== watcher)
  })

  it('has every change in force in time while large objects change often and all links are narrow', async () => {
    for (const node of bench.nodes) bench.hub.setUplink(node.name, UPLINK_BYTES_PER_SECOND)
    await bringChanges(bench.nodes, STORM_MS)
  })

  for (const [what, bytes] of [['large', OBJECT_BYTES], ['small', 100]] as const) {
    it(`puts a bounded share on the watcher's link while ${what} objects change often`, async () => {
      bench.hub.setUplink(watcher.name, UPLINK_BYTES_PER_SECOND)
      await bringChanges(bench.nodes, STORM_MS, bytes)
      const seconds = (STORM_MS + IN_FORCE_MS) / 1000
      assert.ok(bench.hub.countSentBytes(watcher.name) <= seconds * (NEWS_BYTES_PER_SECOND + CALLS_BYTES_PER_SECOND) + NEWS_BURST_BYTES)
    })
  }

  it('asks the store a few times a second for each instance while large objects change often', async () => {
    const before = others.map((node) => node.path.calls)
    await bringChanges(bench.nodes, STORM_MS)
    const seconds = (STORM_MS + IN_FORCE_MS) / 1000
    for (const [at, node] of others.entries()) assert.ok(node.path.calls - (before[at] ?? 0) <= seconds * MAX_CALLS_PER_SECOND)
  })

  it('asks for small changes by one instance only', async () => {
    const before = others.map((node) => node.path.calls)
    await bringChanges(bench.nodes, STORM_MS, 100)
    assert.deepEqual(others.map((node) => node.path.calls), before)
  })

  for (const state of ['failing', 'silent'] as const) {
    it(`has every change in force in time on instances whose path to the store is ${state}, while large objects change often`, async () => {
      for (const node of bench.nodes) bench.hub.setUplink(node.name, UPLINK_BYTES_PER_SECOND)
      for (const node of others.slice(0, 3)) node.path.state = state
      await bringChanges(bench.nodes, STORM_MS)
    })
  }

  describe('with news that are old when they arrive', () => {
    let late: Node

    beforeEach(() => {
      late = others[0] as Node
    })

    it('has changes in force in time on an instance to which news take seconds', async () => {
      bench.hub.setDelay(watcher.name, late.name, LATE_NEWS_MS)
      for (let round = 0; round < 3; round++) {
        // News that nothing changed are on the way by now.
        await bench.clock.advance(2 * LATE_NEWS_MS)
        const number = await bench.write('x')
        await bench.clock.advance(IN_FORCE_MS)
        checkInForce([late], number)
      }
    })

    it('has a change in force in time when a silent cut delivers what it held and goes on', async () => {
      const { clock, hub } = bench
      hub.hold(watcher.name, late.name)
      await clock.advance(800)
      const number = await bench.write('x')
      hub.releaseAll()
      hub.hold(watcher.name, late.name)
      await clock.advance(IN_FORCE_MS)
      checkInForce([late], number)
    })

    it('has a change in force in time when a process thaws and takes old news first', async () => {
      const { clock, hub } = bench
      const holdAll = (): void => bench.nodes.forEach((node) => hub.hold(node.name, late.name))
      late.clock.freeze()
      holdAll()
      await clock.advance(LATE_NEWS_MS)
      const number = await bench.write('x')
      hub.cut(watcher.name, late.name)
      await clock.advance(900)
      hub.releaseAll()
      holdAll()
      late.clock.thaw()
      await clock.advance(IN_FORCE_MS - 900)
      checkInForce([late], number)
    })
  })

  describe('with clocks that differ', () => {
    it('has changes in force in time, asked for by one instance only', async () => {
      bench = new FeedBench(5)
      for (let at = 1; at <= COUNT; at++) bench.start(`n${at}`, { offsetMs: (at % 5 - 2) * 1_000_000 })
      const asking = await bench.findWatcher()
      const before = bench.nodes.map((node) => node.path.calls)
      const number = await bench.write('x')
      await bench.clock.advance(IN_FORCE_MS)
      checkInForce(bench.nodes, number)
      for (const [at, node] of bench.nodes.entries()) if (node !== asking) assert.equal(node.path.calls, before[at])
    })

    it('has changes in force in time, and no copy counted too young, while no instance knows the clocks of others', async () => {
      bench = new FeedBench(5)
      for (let at = 1; at <= COUNT; at++) bench.start(`n${at}`, { offsetMs: at * 1_000_000, isClockKnown: false })
      await bench.clock.advance(3_000)
      const number = await bench.write('x')
      await bench.clock.advance(IN_FORCE_MS)
      checkInForce(bench.nodes, number)
      for (const node of bench.nodes) assert.ok(node.feed.ageMs < IN_FORCE_MS)
    })
  })

  describe('of an instance that starts while the store is away', () => {
    it('counts the copy that a peer gave it as no younger than the peer\'s', async () => {
      for (const node of bench.nodes) node.path.state = 'failing'
      await bench.clock.advance(3_000)
      const fresh = bench.start('n0', { state: 'failing' })
      await bench.clock.advance(1_000)
      assert.equal(fresh.feed.newestRevision, watcher.feed.newestRevision)
      assert.ok(fresh.feed.ageMs >= Math.min(...bench.nodes.filter((node) => node !== fresh).map((node) => node.feed.ageMs)))
    })
  })
})
