import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedCluster, MAX_PROPAGATION_MS, type Node } from './FeedCluster.js'

const INSTANCE_COUNT = 24
const DURATION_SECONDS = 10
/** At most 10 calls per second from the watcher and 10 from all others together. */
const MAX_CALLS_PER_SECOND = 20

describe('feeds of many instances during an outage of the store', () => {
  let cluster: FeedCluster
  let nodes: Node[]

  const countCalls = async (): Promise<number> => {
    const before = sumCalls()
    await cluster.clock.advance(DURATION_SECONDS * 1_000)
    return sumCalls() - before
  }
  const sumCalls = (): number => nodes.reduce((sum, node) => sum + node.path.calls, 0)

  beforeEach(async () => {
    cluster = new FeedCluster(5)
    nodes = cluster.nodes
    for (let at = 0; at < INSTANCE_COUNT; at++) cluster.start(`n${at}`)
    await cluster.clock.advance(3_000)
  })

  it('limit the rate of calls, and apply changes in time once the store is back', async () => {
    for (const node of nodes) node.path.state = 'failing'
    await cluster.clock.advance(3_000)
    const calls = await countCalls()
    assert.ok(calls <= MAX_CALLS_PER_SECOND * DURATION_SECONDS, `${calls} calls`)
    for (const node of nodes) node.path.state = 'good'
    const value = await cluster.write('x')
    await cluster.clock.advance(MAX_PROPAGATION_MS)
    assert.deepEqual(nodes.map((node) => cluster.readNumber(node, 'x')), nodes.map(() => value))
  })

  it('elect another watcher when the store rejects the current one', async () => {
    const watcher = await cluster.findWatcher()
    watcher.path.state = 'failing'
    await cluster.clock.advance(3_000)
    const before = nodes.map((node) => node.path.calls)
    await cluster.clock.advance(DURATION_SECONDS * 1_000)
    const callers = nodes.filter((node, at) => node !== watcher && node.path.calls - (before[at] ?? 0) > 1)
    assert.equal(callers.length, 1, callers.map((node) => node.name).join(' '))
    assert.ok(watcher.path.calls - (before[nodes.indexOf(watcher)] ?? 0) <= DURATION_SECONDS, 'the former watcher receives updates from the new one')
  })

  it('elect the next watcher at once, so that every change is applied in time', async () => {
    const watcher = await cluster.findWatcher()
    watcher.path.state = 'failing'
    for (let round = 0; round < 5; round++) {
      const value = await cluster.write('x')
      await cluster.clock.advance(MAX_PROPAGATION_MS)
      assert.deepEqual(nodes.map((node) => cluster.readNumber(node, 'x')), nodes.map(() => value))
    }
  })
})
