import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { BackendFleet, PrefillShare, shareLoads } from '../src/index.js'
import { FakeHub } from '@pulleystack/membership.fake-network'

const LONG_PAUSE = { maxShare: 1.1, streams: 1 }
const SHORT_PAUSE = { maxShare: 0.5, streams: 1 }

describe('prefill share', () => {
  let share: PrefillShare

  beforeEach(() => {
    share = new PrefillShare()
  })

  it('is unchanged while no stream pauses for too long', () => {
    share.addSample(SHORT_PAUSE, 0)
    assert.equal(share.value, 1)
  })

  it('drops after a long pause, and counts streams affected by the same pause once', () => {
    share.addSample(LONG_PAUSE, 0)
    const afterFirst = share.value
    share.addSample(LONG_PAUSE, 100)
    assert.ok(afterFirst < 1)
    assert.equal(share.value, afterFirst)
  })

  it('has a lower bound, and recovers as streams run without long pauses', () => {
    for (let at = 0; at < 100; at++) share.addSample(LONG_PAUSE, at * 1_000)
    const lowest = share.value
    assert.ok(lowest > 0.2)
    share.addSample({ maxShare: 0.5, streams: 100 }, 200_000)
    assert.equal(share.value, 1)
  })

  // A server that prefills 1.3 times as slowly as assumed: pauses are proportional to the prompt tokens processed beside streams.
  it('settles at a value with few long pauses for a slow server', () => {
    const random = new RandomSource(7)
    const simulate = (isAdaptive: boolean): number => {
      const prefillShare = new PrefillShare()
      let longPauses = 0
      for (let stream = 0; stream < 2_000; stream++) {
        const maxShare = 1.3 * (isAdaptive ? prefillShare.value : 1) * (0.6 + 0.4 * random.readFraction())
        if (maxShare > 1 && stream >= 200) longPauses++
        prefillShare.addSample({ maxShare, streams: 1 }, stream * 300)
      }
      return longPauses / 1_800
    }
    const withoutAdapting = simulate(false)
    const withAdapting = simulate(true)
    assert.ok(withoutAdapting > 0.5 && withAdapting < 0.05, `${withoutAdapting} and ${withAdapting} of all streams`)
  })

  it('is shared between instances', async () => {
    const clock = new ManualClock()
    const hub = new FakeHub({ clock, random: new RandomSource(1) })
    const entry = { id: 'r1', service: 's', address: 'h:1', dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] }
    const ended = new AbortController()
    const fleets = ['e1', 'e2'].map((instance) => {
      const network = hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
      const fleet = new BackendFleet()
      fleet.put(entry)
      shareLoads({ clock, network, fleet, countRecipients: () => 1, onChange: () => undefined }, ended.signal)
      return fleet
    })
    const [own, other] = fleets.map((fleet) => fleet.find('r1'))
    assert.ok(own && other)
    fleets[0]?.recordPause(own, 1.2, 0)
    fleets[0]?.announceLoadChange()
    await clock.advance(1_000)
    ended.abort()
    assert.equal(other.prefillShare.value, own.prefillShare.value)
    assert.ok(other.prefillShare.value < 1)
  })
})
