import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { defineChannel } from '@pulleystack/membership.peers'
import { BackendFleet, shareLimits, type Backend } from '../src/index.js'

const SERVER = { id: 's', startedAt: 1 }
const MESSAGE_DELAY_MS = 50

/** Two serving instances that know the server, and a standby instance that doesn't. */
describe('limits exchanged between instances', () => {
  let clock: ManualClock
  let hub: FakeHub
  let fleets: Record<string, BackendFleet>
  let networks: Record<string, FakeNetwork>

  const findFleet = (name: string): BackendFleet => fleets[name] as BackendFleet
  const recordLimit = (name: string, perSecond: number | undefined, sentAt = clock.readTime()): void => {
    const fleet = findFleet(name)
    fleet.recordLimit(fleet.find(SERVER.id) as Backend, { perSecond, reportedAfter: sentAt, reportedBefore: clock.readTime() })
  }
  const readLimits = (): (number | undefined)[] => Object.values(fleets).map((fleet) => fleet.findLimit(SERVER).perSecond)

  beforeEach(async () => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(3) })
    fleets = {}
    networks = {}
    const signal = new AbortController().signal
    for (const name of ['a', 'b', 'standby']) {
      const network = hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
      const fleet = new BackendFleet()
      const isActive = name !== 'standby'
      if (isActive) fleet.put({ ...SERVER, service: 'q', address: 's:1', dataHall: 'z', slots: 8, draining: false, models: undefined, inMemory: [], onDisk: [] })
      shareLimits({ clock, network, fleet, listStandby: () => isActive ? ['standby'] : [], onPeerLimit: () => undefined }, signal)
      fleets[name] = fleet
      networks[name] = network
    }
    await clock.advance(1_000)
  })

  it('reach all instances at once, with the instance that received them', async () => {
    recordLimit('a', 2)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(readLimits(), [2, 2, 2])
    assert.equal(findFleet('b').findLimit(SERVER).receivedBy, 'a')
  })

  it('reach a standby instance that is linked to other instances only', async () => {
    hub.cut('a', 'standby')
    recordLimit('a', 2)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(readLimits(), [2, 2, 2])
  })

  it('are repeated to a standby instance while in force, and not afterwards', async () => {
    recordLimit('a', 2)
    await clock.advance(MESSAGE_DELAY_MS)
    const receivedAt = findFleet('standby').peerLimitsReceivedAt
    await clock.advance(31_000)
    assert.ok(findFleet('standby').peerLimitsReceivedAt > receivedAt)
    recordLimit('a', undefined)
    await clock.advance(MESSAGE_DELAY_MS)
    const endedAt = clock.readTime()
    await clock.advance(31_000)
    assert.ok(findFleet('standby').peerLimitsReceivedAt <= endedAt)
  })

  it('end at an instance that received the limit after its end was announced, once a response confirms the end', async () => {
    recordLimit('a', 2)
    await clock.advance(MESSAGE_DELAY_MS)
    const sentAt = clock.readTime()
    await clock.advance(10)
    recordLimit('a', undefined, sentAt)
    // This response began before the limit ended, and arrives afterwards.
    recordLimit('b', 2, sentAt - 20)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.equal(findFleet('b').findLimit(SERVER).perSecond, 2)
    recordLimit('a', undefined)
    await clock.advance(600)
    assert.equal(findFleet('b').findLimit(SERVER).perSecond, undefined)
  })

  it('are ignored in invalid messages', async () => {
    const channel = defineChannel<unknown>('fleet.limits', { isOneShot: true })
    const bodies = [
      null,
      'limits',
      [3],
      [{ life: { id: 7 }, ageMs: 1 }],
      [{ life: SERVER, perSecond: 'x', ageMs: 1 }],
      [{ life: SERVER, perSecond: 1 }],
      [{ life: SERVER, perSecond: 1, ageMs: -5 }],
    ]
    for (const body of bodies) networks['a']?.send('b', channel, body)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(readLimits(), [undefined, undefined, undefined])
  })
})
