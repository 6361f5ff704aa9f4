import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedBench, IN_FORCE_MS, type Node } from './FeedBench.js'

const COUNT = 24
const SECONDS = 10
/** One watcher asks about once in 0.7 s and at most every 0.1 s when its calls fail; all others together may ask about as often. */
const MAX_CALLS_PER_SECOND = 20

describe('feeds of many instances that lose the store', () => {
  let bench: FeedBench
  let nodes: Node[]

  const countCalls = async (): Promise<number> => {
    const before = sumCalls()
    await bench.clock.advance(SECONDS * 1_000)
    return sumCalls() - before
  }
  const sumCalls = (): number => nodes.reduce((sum, node) => sum + node.path.calls, 0)

  beforeEach(async () => {
    bench = new FeedBench(5)
    nodes = bench.nodes
    for (let at = 0; at < COUNT; at++) bench.start(`n${at}`)
    await bench.clock.advance(3_000)
  })

  it('ask it seldom while it is away for all, and have changes in force soon after it is back', async () => {
    for (const node of nodes) node.path.state = 'failing'
    await bench.clock.advance(3_000)
    const calls = await countCalls()
    assert.ok(calls <= MAX_CALLS_PER_SECOND * SECONDS, `${calls} calls`)
    for (const node of nodes) node.path.state = 'good'
    const value = await bench.write('x')
    await bench.clock.advance(IN_FORCE_MS)
    assert.deepEqual(nodes.map((node) => bench.readNumber(node, 'x')), nodes.map(() => value))
  })

  it('let another one watch when the store turns the watcher away', async () => {
    const watcher = await bench.findWatcher()
    watcher.path.state = 'failing'
    await bench.clock.advance(3_000)
    const before = nodes.map((node) => node.path.calls)
    await bench.clock.advance(SECONDS * 1_000)
    const asking = nodes.filter((node, at) => node !== watcher && node.path.calls - (before[at] ?? 0) > 1)
    assert.equal(asking.length, 1, asking.map((node) => node.name).join(' '))
    assert.ok(watcher.path.calls - (before[nodes.indexOf(watcher)] ?? 0) <= SECONDS, 'the watcher hears from the other one')
  })

  it('let the next one watch at once, so that nobody\'s copy gets old', async () => {
    const watcher = await bench.findWatcher()
    watcher.path.state = 'failing'
    for (let round = 0; round < 5; round++) {
      const value = await bench.write('x')
      await bench.clock.advance(IN_FORCE_MS)
      assert.deepEqual(nodes.map((node) => bench.readNumber(node, 'x')), nodes.map(() => value))
    }
  })
})
