import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { BackendDirectory, BackendFleet, shareRevived, type BackendEntry } from '../src/index.js'

const MESSAGE_MS = 200
const RESTORED = 100

function createEntry (id: string): BackendEntry {
  return { id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] }
}

describe('servers that had gone before the store came back from an older copy', () => {
  let clock: ManualClock
  let hub: FakeHub
  let ended: AbortController

  const start = (instance: string) => {
    const fleet = new BackendFleet()
    const directory = new BackendDirectory({ clock, fleet, readSettledMs: () => Infinity })
    const network = hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const tellAll = shareRevived({ network, directory }, ended.signal)
    return { fleet, directory, tellAll, network }
  }

  beforeEach(() => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(1) })
    ended = new AbortController()
  })

  afterEach(() => ended.abort())

  const startKnowing = () => {
    const knowing = start('e1')
    knowing.directory.put(createEntry('s1'))
    knowing.directory.remove('s1')
    knowing.directory.noteRestored(RESTORED)
    knowing.directory.put(createEntry('s1'), RESTORED)
    return knowing
  }

  it('are told to those that are linked', async () => {
    const other = start('e2')
    other.directory.put(createEntry('s1'), RESTORED)
    startKnowing().tellAll()
    await clock.advance(MESSAGE_MS)
    assert.equal(other.fleet.find('s1'), undefined)
  })

  // Guards against an instance that was linked before it listened, and is told nothing.
  it('are told to one that begins to follow the store', async () => {
    startKnowing()
    const other = start('e2')
    other.directory.put(createEntry('s1'), RESTORED)
    await clock.advance(MESSAGE_MS)
    assert.equal(other.fleet.find('s1'), undefined)
  })

  it('are passed over when a message is of no use', async () => {
    const other = start('e2')
    other.directory.put(createEntry('s1'), RESTORED)
    const peer = start('e3')
    for (const body of [undefined, 'x', {}, { version: 'x', servers: [] }, { version: 1, servers: [['s1']] }, { version: 1, servers: 's1' }]) {
      peer.network.send('e2', { name: 'fleet.revived' }, body)
    }
    await clock.advance(MESSAGE_MS)
    assert.notEqual(other.fleet.find('s1'), undefined)
  })
})
