import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { BackendFleet, shareLoads } from '../src/index.js'

const MESSAGE_MS = 200

describe('loads that instances tell each other', () => {
  let clock: ManualClock
  let fleet: BackendFleet
  let peer: FakeNetwork
  let ended: AbortController

  const createIdentity = (instance: string) => ({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
  const channel = { name: 'fleet.loads' }

  beforeEach(() => {
    clock = new ManualClock()
    const hub = new FakeHub({ clock, random: new RandomSource(1) })
    fleet = new BackendFleet()
    fleet.put({ id: 's1', service: 's', address: '', dataHall: '', slots: 4, draining: false, models: undefined, inMemory: [], onDisk: [] })
    ended = new AbortController()
    shareLoads({ clock, network: hub.createNode(createIdentity('own')), fleet, countReaders: () => 1, onChange: () => undefined }, ended.signal)
    peer = hub.createNode(createIdentity('peer'))
  })

  afterEach(() => ended.abort())

  it('are taken with the suspects among them', async () => {
    peer.send('own', channel, { loads: [['s1', 3, 100, 200, 1]], waiting: [], down: [], outcomes: [], pauses: [], prefixes: [] })
    await clock.advance(MESSAGE_MS)
    assert.deepEqual(fleet.find('s1')?.readLoad(), { running: 3, prefillTokens: 100, cacheTokens: 200, suspects: 1 })
  })

  // During a rolling update some peers are of a version that tells less.
  it('are taken from a peer that tells nothing but its loads', async () => {
    peer.send('own', channel, { loads: [['s1', 3, 100, 200]] })
    await clock.advance(MESSAGE_MS)
    assert.deepEqual(fleet.find('s1')?.readLoad(), { running: 3, prefillTokens: 100, cacheTokens: 200, suspects: 0 })
  })
})
