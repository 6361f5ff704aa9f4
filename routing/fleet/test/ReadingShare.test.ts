import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { BackendFleet, ReadingShare, shareLoads } from '../src/index.js'
import { FakeHub } from '@pulleystack/membership.fake-network'

const TOO_LONG = { worst: 1.1, streams: 1 }
const GOOD = { worst: 0.5, streams: 1 }

describe('what a server reads beside its streams', () => {
  let share: ReadingShare

  beforeEach(() => {
    share = new ReadingShare()
  })

  it('stays as it is while no stream pauses for too long', () => {
    share.learn(GOOD, 0)
    assert.equal(share.value, 1)
  })

  it('is less after a pause that was too long, and counts streams of one pause once', () => {
    share.learn(TOO_LONG, 0)
    const once = share.value
    share.learn(TOO_LONG, 100)
    assert.ok(once < 1)
    assert.equal(share.value, once)
  })

  it('never comes to nothing, and comes back as streams flow', () => {
    for (let at = 0; at < 100; at++) share.learn(TOO_LONG, at * 1_000)
    const least = share.value
    assert.ok(least > 0.2)
    share.learn({ worst: 0.5, streams: 100 }, 200_000)
    assert.equal(share.value, 1)
  })

  // A server that reads 1.3 times as slowly as was thought: pauses are in proportion to what it reads beside its streams.
  it('settles for a slow server where few of its streams pause for too long', () => {
    const random = new RandomSource(7)
    const play = (learns: boolean): number => {
      const slow = new ReadingShare()
      let long = 0
      for (let stream = 0; stream < 2_000; stream++) {
        const worst = 1.3 * (learns ? slow.value : 1) * (0.6 + 0.4 * random.readFraction())
        if (worst > 1 && stream >= 200) long++
        slow.learn({ worst, streams: 1 }, stream * 300)
      }
      return long / 1_800
    }
    const before = play(false)
    const now = play(true)
    assert.ok(before > 0.5 && now < 0.05, `${before} and ${now} of all streams`)
  })

  it('is learned by all instances', async () => {
    const clock = new ManualClock()
    const hub = new FakeHub({ clock, random: new RandomSource(1) })
    const entry = { id: 'r1', service: 's', address: 'h:1', dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] }
    const ended = new AbortController()
    const fleets = ['e1', 'e2'].map((instance) => {
      const network = hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
      const fleet = new BackendFleet()
      fleet.put(entry)
      shareLoads({ clock, network, fleet, countReaders: () => 1, onChange: () => undefined }, ended.signal)
      return fleet
    })
    const [own, other] = fleets.map((fleet) => fleet.find('r1'))
    assert.ok(own && other)
    fleets[0]?.notePause(own, 1.2, 0)
    fleets[0]?.noteLoadChange()
    await clock.advance(1_000)
    ended.abort()
    assert.equal(other.readingShare.value, own.readingShare.value)
    assert.ok(other.readingShare.value < 1)
  })
})
