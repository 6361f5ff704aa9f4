import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { BackendDirectory, BackendFleet, shareStaleServers, type BackendEntry } from '../src/index.js'

const DRAIN_MS = 2_000

const MESSAGE_DELAY_MS = 200
const RESTORED_VERSION = 100

function createEntry (id: string): BackendEntry {
  return { id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] }
}

describe('servers that were removed before the store was restored from an older snapshot', () => {
  let clock: ManualClock
  let hub: FakeHub
  let ended: AbortController

  const start = (instance: string) => {
    const fleet = new BackendFleet()
    const directory = new BackendDirectory({ clock, fleet, readMsSinceRecovery: () => Infinity, drainMs: DRAIN_MS })
    const network = hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const sendToAll = shareStaleServers({ network, directory }, ended.signal)
    return { fleet, directory, sendToAll, network }
  }

  beforeEach(() => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(1) })
    ended = new AbortController()
  })

  afterEach(() => ended.abort())

  const startInformed = () => {
    const informed = start('e1')
    informed.directory.put(createEntry('s1'))
    informed.directory.remove('s1')
    informed.directory.handleRestore(RESTORED_VERSION)
    informed.directory.put(createEntry('s1'), RESTORED_VERSION)
    return informed
  }

  it('are sent to linked instances', async () => {
    const other = start('e2')
    other.directory.put(createEntry('s1'), RESTORED_VERSION)
    startInformed().sendToAll()
    await clock.advance(MESSAGE_DELAY_MS)
    assert.equal(other.fleet.find('s1'), undefined)
  })

  // Guards against an instance that misses the message because it was linked before it subscribed.
  it('are sent to an instance that begins to follow the store', async () => {
    startInformed()
    const other = start('e2')
    other.directory.put(createEntry('s1'), RESTORED_VERSION)
    await clock.advance(MESSAGE_DELAY_MS)
    assert.equal(other.fleet.find('s1'), undefined)
  })

  it('are ignored in invalid messages', async () => {
    const other = start('e2')
    other.directory.put(createEntry('s1'), RESTORED_VERSION)
    const peer = start('e3')
    for (const body of [undefined, 'x', {}, { version: 'x', servers: [] }, { version: 1, servers: [['s1']] }, { version: 1, servers: 's1' }]) {
      peer.network.send('e2', { name: 'fleet.revived' }, body)
    }
    await clock.advance(MESSAGE_DELAY_MS)
    assert.notEqual(other.fleet.find('s1'), undefined)
  })
})
