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

describe('a feed of the store over narrow and slow links', () => {
  let bench: FeedBench
  let watcher: Node
  let others: Node[]

  /** Writes one change after the other; each has to be in force in time on the nodes given. */
  const bringChanges = async (nodes: readonly Node[], forMs: number): Promise<void> => {
    const { clock } = bench
    const due: { number: number, at: number }[] = []
    const end = clock.readTime() + forMs
    while (clock.readTime() < end) {
      due.push({ number: await bench.write('x', OBJECT_BYTES), at: clock.readTime() + IN_FORCE_MS })
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
      late.clock.thaw()
      hub.releaseAll()
      holdAll()
      await clock.advance(IN_FORCE_MS)
      checkInForce([late], number)
    })
  })
})
