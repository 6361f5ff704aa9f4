import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { BackendFleet, shareLoads } from '../src/index.js'

const MESSAGE_DELAY_MS = 200

describe('loads exchanged between instances', () => {
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
    shareLoads({ clock, network: hub.createNode(createIdentity('own')), fleet, countRecipients: () => 1, onChange: () => undefined }, ended.signal)
    peer = hub.createNode(createIdentity('peer'))
  })

  afterEach(() => ended.abort())

  it('include suspect requests', async () => {
    peer.send('own', channel, { loads: [['s1', 3, 100, 200, 1]], waiting: [], down: [], outcomes: [], pauses: [], prefixes: [] })
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(fleet.find('s1')?.readLoad(), { running: 3, prefillTokens: 100, cacheTokens: 200, suspects: 1 })
  })

  // During a rolling update some peers run an older version.
  it('are accepted from a peer that sends only its loads', async () => {
    peer.send('own', channel, { loads: [['s1', 3, 100, 200]] })
    await clock.advance(MESSAGE_DELAY_MS)
    assert.deepEqual(fleet.find('s1')?.readLoad(), { running: 3, prefillTokens: 100, cacheTokens: 200, suspects: 0 })
  })
})
