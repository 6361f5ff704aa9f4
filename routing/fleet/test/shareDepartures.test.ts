import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { BackendFleet, shareDepartures, type Backend } from '../src/index.js'

const MESSAGE_MS = 200
const NAMES = ['e1', 'e2', 'e3']

describe('servers that said to one instance that they leave', () => {
  let clock: ManualClock
  let hub: FakeHub
  let fleets: BackendFleet[]
  let ended: AbortController

  const start = (instance: string): BackendFleet => {
    const fleet = new BackendFleet()
    fleet.put({ id: 's1', startedAt: 1, service: 's', address: '', dataHall: '', slots: 4, draining: false, models: undefined, inMemory: [], onDisk: [] })
    const network = hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    shareDepartures({ network, fleet }, ended.signal)
    return fleet
  }
  const knows = (fleet: BackendFleet): boolean | undefined => fleet.find('s1')?.entry.draining

  beforeEach(async () => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(1) })
    ended = new AbortController()
    fleets = NAMES.map(start)
    await clock.advance(MESSAGE_MS)
  })

  afterEach(() => ended.abort())

  it('are known to all others within one message', async () => {
    const [first, ...others] = fleets as [BackendFleet, ...BackendFleet[]]
    first.noteLeaving(first.find('s1') as Backend)
    await clock.advance(MESSAGE_MS)
    assert.deepEqual(others.map(knows), [true, true])
  })

  it('are passed over when a message is of no use', async () => {
    const peer = hub.createNode({ instance: 'old', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    for (const body of [undefined, 'x', {}, [undefined], [{}], [{ id: 7 }], [{ id: 's1', startedAt: 'x' }]]) peer.send('e1', { name: 'fleet.departures' }, body)
    await clock.advance(MESSAGE_MS)
    assert.deepEqual(fleets.map(knows), [false, false, false])
    peer.send('e1', { name: 'fleet.departures' }, [{ id: 's1', startedAt: 1 }])
    await clock.advance(MESSAGE_MS)
    assert.deepEqual(fleets.map(knows), [true, false, false])
  })
})
