import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { BackendFleet, shareDrainingServers, type Backend } from '../src/index.js'

const MESSAGE_DELAY_MS = 200
const NAMES = ['e1', 'e2', 'e3']

describe('servers that announced to one instance that they drain', () => {
  let clock: ManualClock
  let hub: FakeHub
  let fleets: BackendFleet[]
  let ended: AbortController

  const start = (instance: string): BackendFleet => {
    const fleet = new BackendFleet()
    fleet.put({ id: 's1', startedAt: 1, service: 's', address: '', dataHall: '', slots: 4, draining: false, models: undefined, inMemory: [], onDisk: [] })
    const network = hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    shareDrainingServers({ network, fleet }, ended.signal)
    return fleet
  }
  const isDraining = (fleet: BackendFleet): boolean | undefined => fleet.find('s1')?.entry.draining

  beforeEach(async () => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(1) })
    ended = new AbortController()
    fleets = NAMES.map(start)
    await clock.advance(MESSAGE_DELAY_MS)
  })

  afterEach(() => ended.abort())

  it('are known to all other instances after one message', async () => {
    const [first, ...others] = fleets as [BackendFleet, ...BackendFleet[]]
    first.recordDraining(first.find('s1') as Backend)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(others.map(isDraining), [true, true])
  })

  it('ignores invalid messages', async () => {
    const peer = hub.createNode({ instance: 'old', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    for (const body of [undefined, 'x', {}, [undefined], [{}], [{ id: 7 }], [{ id: 's1', startedAt: 'x' }]]) peer.send('e1', { name: 'fleet.departures' }, body)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(fleets.map(isDraining), [false, false, false])
    peer.send('e1', { name: 'fleet.departures' }, [{ id: 's1', startedAt: 1 }])
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(fleets.map(isDraining), [true, false, false])
  })
})
