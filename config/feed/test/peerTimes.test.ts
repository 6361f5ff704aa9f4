import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { NEWS, type FeedNews } from '../src/channels.js'
import { FeedBench, IN_FORCE_MS, PREFIX, type Node } from './FeedBench.js'

/** How long the peer's process ran before it was started again. */
const FORMER_LIFE_MS = 60_000

describe('a feed that is told of times by peers', () => {
  let bench: FeedBench
  let watcher: Node
  let late: Node

  /** Brings one message of the watcher to the other, whatever the clocks say. */
  const tell = async (knownAt: number | undefined): Promise<void> => {
    const revision = late.feed.newestRevision
    const sender = bench.hub.findNode(watcher.name)
    sender?.send(late.name, NEWS, { prefix: PREFIX, from: revision, to: revision, changes: [], knownAt } as FeedNews)
    await bench.clock.advance(50)
  }
  const checkGoesOn = async (): Promise<void> => {
    bench.hub.hold(watcher.name, late.name)
    const number = await bench.write('x')
    await bench.clock.advance(IN_FORCE_MS)
    assert.ok(bench.readNumber(late, 'x') >= number)
  }

  beforeEach(async () => {
    bench = new FeedBench(5)
    for (const name of ['n1', 'n2', 'n3']) bench.start(name)
    await bench.clock.advance(3_000)
    watcher = await bench.findWatcher()
    late = bench.nodes.find((node) => node !== watcher) as Node
  })

  it('takes a time that lies ahead for no later than now, as of a message that a former life of the peer sent', async () => {
    await tell(bench.clock.readTime() + FORMER_LIFE_MS)
    assert.ok(late.feed.ageMs >= 0, `${late.feed.ageMs}`)
    await checkGoesOn()
  })

  it('takes news without a time, as a former version sends them, for no newer than it knows', async () => {
    await tell(undefined)
    assert.ok(Number.isFinite(late.feed.ageMs), `${late.feed.ageMs}`)
    await checkGoesOn()
  })
})
