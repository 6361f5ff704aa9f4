import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedCluster, MAX_PROPAGATION_MS, MIN_EXPIRY_MS, type Node } from './FeedCluster.js'

const START_MS = 5_000
/** As long as a store may be lost before orders depend on the word of peers. */
const MAX_OUTAGE_MS = 400
const STEP_MS = 50

// Guards against an outage that is assumed because a waiting watch was cut while the store served every call.
describe('feeds whose waiting watches are cut', () => {
  let cluster: FeedCluster
  let nodes: Node[]

  const setPaths = (state: 'good' | 'cutting' | 'failing'): void => nodes.forEach((node) => {
    node.path.state = state
  })
  /** Advances the clock step by step; returns the longest outage and the shortest time since a recovery that any feed reported. */
  const watchFor = async (ms: number): Promise<{ outageMs: number, sinceRecoveryMs: number }> => {
    const seen = { outageMs: 0, sinceRecoveryMs: Infinity }
    for (let at = 0; at < ms; at += STEP_MS) {
      await cluster.clock.advance(STEP_MS)
      for (const { feed } of nodes) {
        seen.outageMs = Math.max(seen.outageMs, feed.outageMs)
        if (feed.outageMs === 0) seen.sinceRecoveryMs = Math.min(seen.sinceRecoveryMs, feed.msSinceRecovery)
      }
    }
    return seen
  }

  for (const count of [1, 2, 4, 24]) {
    describe(`at ${count} instances`, () => {
      beforeEach(async () => {
        cluster = new FeedCluster(3)
        nodes = cluster.nodes
        for (let at = 0; at < count; at++) cluster.start(`n${at}`)
        await cluster.clock.advance(START_MS)
      })

      for (const [name, cutMs] of [['once', 100], ['again and again', 6_000]] as const) {
        it(`see no outage: ${name}`, async () => {
          setPaths('cutting')
          const during = await watchFor(cutMs)
          setPaths('good')
          const after = await watchFor(2_000)
          assert.equal(Math.min(during.sinceRecoveryMs, after.sinceRecoveryMs) > START_MS / 2, true, 'no recovery')
          assert.ok(Math.max(during.outageMs, after.outageMs) <= MAX_OUTAGE_MS, `${during.outageMs} and ${after.outageMs} ms`)
        })
      }

      it('apply changes in time', async () => {
        setPaths('cutting')
        for (let round = 0; round < 5; round++) {
          const value = await cluster.write('x')
          await cluster.clock.advance(MAX_PROPAGATION_MS)
          assert.deepEqual(nodes.map((node) => cluster.readNumber(node, 'x')), nodes.map(() => value))
        }
      })

      it('see an outage in which objects may have expired when all calls fail for as long', async () => {
        setPaths('failing')
        await cluster.clock.advance(MIN_EXPIRY_MS + 1_000)
        setPaths('good')
        const { sinceRecoveryMs } = await watchFor(2_000)
        assert.ok(sinceRecoveryMs < 500, `${sinceRecoveryMs} ms`)
      })
    })
  }
})
