import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { defineChannel } from '@pulleystack/membership.peers'
import { BackendFleet, shareLimits, type Backend } from '../src/index.js'

const LIFE = { id: 's', startedAt: 1 }
const MOMENT_MS = 50

/** Instances of which two serve and know a server, and one stands by and knows none. */
describe('what instances tell each other of limits', () => {
  let clock: ManualClock
  let hub: FakeHub
  let fleets: Record<string, BackendFleet>
  let networks: Record<string, FakeNetwork>

  const findFleet = (name: string): BackendFleet => fleets[name] as BackendFleet
  const hear = (name: string, perSecond: number | undefined, sentAt = clock.readTime()): void => {
    const fleet = findFleet(name)
    fleet.noteLimit(fleet.find(LIFE.id) as Backend, { perSecond, saidAfter: sentAt, saidBefore: clock.readTime() })
  }
  const readLimits = (): (number | undefined)[] => Object.values(fleets).map((fleet) => fleet.findLimit(LIFE).perSecond)

  beforeEach(async () => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(3) })
    fleets = {}
    networks = {}
    const signal = new AbortController().signal
    for (const name of ['a', 'b', 'standby']) {
      const network = hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
      const fleet = new BackendFleet()
      const isServing = name !== 'standby'
      if (isServing) fleet.put({ ...LIFE, service: 'q', address: 's:1', dataHall: 'z', slots: 8, draining: false, models: undefined, inMemory: [], onDisk: [] })
      shareLimits({ clock, network, fleet, listStandby: () => isServing ? ['standby'] : [], onNews: () => undefined }, signal)
      fleets[name] = fleet
      networks[name] = network
    }
    await clock.advance(1_000)
  })

  it('is known to all at once, and who heard it', async () => {
    hear('a', 2)
    await clock.advance(MOMENT_MS)
    assert.deepEqual(readLimits(), [2, 2, 2])
    assert.equal(findFleet('b').findLimit(LIFE).heardBy, 'a')
  })

  it('comes to one on standby that is linked to others only', async () => {
    hub.cut('a', 'standby')
    hear('a', 2)
    await clock.advance(MOMENT_MS)
    assert.deepEqual(readLimits(), [2, 2, 2])
  })

  it('reminds one on standby of limits that stand, and not of others', async () => {
    hear('a', 2)
    await clock.advance(MOMENT_MS)
    const toldAt = findFleet('standby').limitsToldAt
    await clock.advance(31_000)
    assert.ok(findFleet('standby').limitsToldAt > toldAt)
    hear('a', undefined)
    await clock.advance(MOMENT_MS)
    const endedAt = clock.readTime()
    await clock.advance(31_000)
    assert.ok(findFleet('standby').limitsToldAt <= endedAt)
  })

  it('ends for one that heard the limit a moment after the end was told, once an answer shows it again', async () => {
    hear('a', 2)
    await clock.advance(MOMENT_MS)
    const sentAt = clock.readTime()
    await clock.advance(10)
    hear('a', undefined, sentAt)
    // This answer began before the end, and is heard after it.
    hear('b', 2, sentAt - 20)
    await clock.advance(MOMENT_MS)
    assert.equal(findFleet('b').findLimit(LIFE).perSecond, 2)
    hear('a', undefined)
    await clock.advance(600)
    assert.equal(findFleet('b').findLimit(LIFE).perSecond, undefined)
  })

  it('is passed over when it makes no sense', async () => {
    const channel = defineChannel<unknown>('fleet.limits', { isOnce: true })
    const bodies = [null, 'limits', [3], [{ life: { id: 7 }, ageMs: 1 }], [{ life: LIFE, perSecond: 'x', ageMs: 1 }], [{ life: LIFE, perSecond: 1 }], [{ life: LIFE, perSecond: 1, ageMs: -5 }]]
    for (const body of bodies) networks['a']?.send('b', channel, body)
    await clock.advance(MOMENT_MS)
    assert.deepEqual(readLimits(), [undefined, undefined, undefined])
  })
})
