import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { UPDATE, type FeedUpdate } from '../src/channels.js'
import { FeedCluster, MAX_PROPAGATION_MS, PREFIX, type Node } from './FeedCluster.js'

/** Duration of the peer's previous process run. */
const PREVIOUS_RUN_MS = 60_000

describe('times of peers in updates', () => {
  let cluster: FeedCluster
  let watcher: Node
  let follower: Node

  /** Sends one update with the given time from the watcher to the follower. */
  const sendUpdate = async (knownAt: number | undefined): Promise<void> => {
    const revision = follower.feed.newestRevision
    const sender = cluster.hub.findNode(watcher.name)
    sender?.send(follower.name, UPDATE, { prefix: PREFIX, from: revision, to: revision, changes: [], knownAt } as FeedUpdate)
    await cluster.clock.advance(50)
  }
  const checkReceivesChanges = async (): Promise<void> => {
    cluster.hub.hold(watcher.name, follower.name)
    const number = await cluster.write('x')
    await cluster.clock.advance(MAX_PROPAGATION_MS)
    assert.ok(cluster.readNumber(follower, 'x') >= number)
  }

  beforeEach(async () => {
    cluster = new FeedCluster(5)
    for (const name of ['n1', 'n2', 'n3']) cluster.start(name)
    await cluster.clock.advance(3_000)
    watcher = await cluster.findWatcher()
    follower = cluster.nodes.find((node) => node !== watcher) as Node
  })

  it('caps a time in the future at the current time, as in a message of the peer\'s previous process run', async () => {
    await sendUpdate(cluster.clock.readTime() + PREVIOUS_RUN_MS)
    assert.ok(follower.feed.ageMs >= 0, `${follower.feed.ageMs}`)
    await checkReceivesChanges()
  })

  it('does not count an update without a time, as a former version sends it, as fresh', async () => {
    await sendUpdate(undefined)
    assert.ok(Number.isFinite(follower.feed.ageMs), `${follower.feed.ageMs}`)
    await checkReceivesChanges()
  })
})
