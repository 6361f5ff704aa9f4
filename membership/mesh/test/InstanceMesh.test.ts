import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { StoreEpochs, type ObjectStore } from '@pulleystack/backend.interfaces'
import { ManualClock } from '@pulleystack/core.clock'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import type { PeerEvent, PeerIdentity, WebSocketNetwork } from '@pulleystack/membership.peers'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { EMPTY, Subject } from 'rxjs'
import { InstanceMesh } from '../src/index.js'

const OTHER_COUNT = 27
const STANDBY_COUNT = 8
/** Lists are sent at most five times per second. */
const BURST_MS = 1_000
const MAX_LISTS_PER_BURST = 6

function createIdentity (instance: string, standby: boolean): PeerIdentity {
  return { instance, incarnation: 1, address: `${instance}:1`, peerAddress: `${instance}:2`, region: '', dataHall: '', leaving: standby, standby }
}

describe('InstanceMesh of a serving instance in a large system', () => {
  let clock: ManualClock
  let mesh: InstanceMesh
  let events: Subject<PeerEvent>
  let lists: { to: string, names: string[] }[]

  beforeEach(() => {
    clock = new ManualClock()
    events = new Subject()
    lists = []
    const network = {
      peerEvents: events,
      receive: () => EMPTY,
      handleCalls: () => undefined,
      setNeighbours: () => undefined,
      announceIdentity: () => undefined,
      send: (to: string, _: unknown, serving: PeerIdentity[]) => lists.push({ to, names: serving.map((it) => it.instance) }),
    } as unknown as WebSocketNetwork
    const store = { epochs: new StoreEpochs(), listObjects: () => new Promise(() => undefined) } as unknown as ObjectStore
    mesh = new InstanceMesh({ clock, store, network, log: new NullDecisionLog(), self: createIdentity('own', false), seeds: [], settleMs: 0 })
    mesh.start(new AbortController().signal)
    for (let index = 0; index < STANDBY_COUNT; index++) events.next({ kind: 'heard', identity: createIdentity(`standby${index}`, true) })
    lists = []
  })

  it('sends standby instances few lists when many instances join at once', async () => {
    for (let index = 0; index < OTHER_COUNT; index++) {
      events.next({ kind: 'heard', identity: createIdentity(`e${index}`, false) })
      await clock.advance(BURST_MS / OTHER_COUNT)
    }
    await clock.advance(BURST_MS)
    assert.ok(lists.length <= STANDBY_COUNT * MAX_LISTS_PER_BURST, `${lists.length} lists`)
    for (let index = 0; index < STANDBY_COUNT; index++) {
      const latest = lists.filter(({ to }) => to === `standby${index}`).at(-1)
      assert.equal(latest?.names.length, OTHER_COUNT + 1)
    }
  })

  it('sends the list immediately to an instance that goes on standby', () => {
    events.next({ kind: 'heard', identity: createIdentity('late', true) })
    assert.deepEqual(lists.map(({ to }) => to), ['late'])
    assert.deepEqual(mesh.listServing(), [])
  })

  // A list in transit when a link fails is lost, and the next one would follow only after the next change.
  it('sends the list again over a new link to a standby instance', () => {
    events.next({ kind: 'heard', identity: createIdentity('standby0', true), isNewLink: true })
    events.next({ kind: 'heard', identity: createIdentity('standby0', true) })
    assert.deepEqual(lists.map(({ to }) => to), ['standby0'])
  })
})

describe('InstanceMesh of a standby instance in a large system', () => {
  const receivedLists = new Subject<{ from: string, body: PeerIdentity[] }>()
  let events: Subject<PeerEvent>
  let mesh: InstanceMesh

  const listServingNames = (): string[] => mesh.listServing().map((identity) => identity.instance)

  beforeEach(() => {
    events = new Subject()
    const network = {
      peerEvents: events,
      receive: () => receivedLists,
      handleCalls: () => undefined,
      setNeighbours: () => undefined,
      send: () => true,
    } as unknown as WebSocketNetwork
    const store = { epochs: new StoreEpochs(), listObjects: () => new Promise(() => undefined) } as unknown as ObjectStore
    mesh = new InstanceMesh({ clock: new ManualClock(), store, network, log: new NullDecisionLog(), self: createIdentity('own', true), seeds: [], settleMs: 0 })
    mesh.start(new AbortController().signal)
    events.next({ kind: 'heard', identity: createIdentity('reporter', false) })
  })

  it('lists serving instances reported by a peer', () => {
    receivedLists.next({ from: 'reporter', body: [createIdentity('reporter', false), createIdentity('reported', false)] })
    assert.deepEqual(listServingNames(), ['reporter', 'reported'])
  })

  // The self-reported status of a peer is newer than the list of another instance.
  it('does not list a leaving peer that another instance still reports', () => {
    events.next({ kind: 'heard', identity: createIdentity('leaver', false) })
    events.next({ kind: 'heard', identity: { ...createIdentity('leaver', false), leaving: true } })
    receivedLists.next({ from: 'reporter', body: [createIdentity('reporter', false), createIdentity('leaver', false)] })
    assert.deepEqual(listServingNames(), ['reporter'])
  })

  it('ignores the list of a leaving peer', () => {
    receivedLists.next({ from: 'reporter', body: [createIdentity('reporter', false), createIdentity('reported', false)] })
    events.next({ kind: 'heard', identity: { ...createIdentity('reporter', false), leaving: true } })
    assert.deepEqual(listServingNames(), [])
  })

  for (const kind of ['silent', 'closed'] as const) {
    it(`discards the list of a peer whose link is ${kind}`, () => {
      receivedLists.next({ from: 'reporter', body: [createIdentity('reporter', false), createIdentity('reported', false)] })
      events.next({ kind, instance: 'reporter' })
      assert.deepEqual(listServingNames(), [])
      events.next({ kind: 'heard', identity: createIdentity('reporter', false), isNewLink: true })
      assert.deepEqual(listServingNames(), ['reporter'])
    })
  }

  it('accepts a list with a new incarnation of a peer that was leaving', () => {
    events.next({ kind: 'heard', identity: { ...createIdentity('leaver', false), leaving: true } })
    receivedLists.next({ from: 'reporter', body: [{ ...createIdentity('leaver', false), incarnation: 2 }] })
    assert.deepEqual(listServingNames(), ['reporter', 'leaver'])
  })
})

describe('InstanceMesh after a restore of the store from an older snapshot', () => {
  const OWN_KEY = 'instances/own'
  const OTHER_KEY = 'instances/other'
  /** Time for all instances to check their records; shorter than the 15 s between listings. */
  const RECOVERY_MS = 2_000
  let clock: ManualClock
  let store: MemoryObjectStore
  let mesh: InstanceMesh

  const readVersion = async (key: string): Promise<number> => (await store.readObject(key))._unsafeUnwrap()?.version ?? 0
  const deleteRecord = async (key: string): Promise<void> => {
    await store.deleteObject(key, await readVersion(key))
  }

  beforeEach(async () => {
    clock = new ManualClock()
    store = new MemoryObjectStore({ clock })
    store.epochs.record(1)
    await store.writeObject(OTHER_KEY, { peerAddress: 'other:2', dataHall: '', capacity: 1 }, 0)
    const network = {
      peerEvents: EMPTY,
      receive: () => EMPTY,
      handleCalls: () => undefined,
      setNeighbours: () => undefined,
      send: () => true,
    } as unknown as WebSocketNetwork
    mesh = new InstanceMesh({ clock, store, network, log: new NullDecisionLog(), self: createIdentity('own', false), seeds: [], settleMs: 0 })
    mesh.start(new AbortController().signal)
    await clock.advance(RECOVERY_MS)
  })

  // Otherwise instances that start later could not find this one until its next listing.
  it('rewrites its own lost record', async () => {
    await deleteRecord(OWN_KEY)
    store.epochs.record(2)
    await clock.advance(RECOVERY_MS)
    assert.notEqual(await readVersion(OWN_KEY), 0)
  })

  it('rewrites its record once the store is available again', async () => {
    await deleteRecord(OWN_KEY)
    store.epochs.record(2)
    store.faults.down = true
    await clock.advance(RECOVERY_MS)
    store.faults.down = false
    await clock.advance(RECOVERY_MS)
    assert.notEqual(await readVersion(OWN_KEY), 0)
  })

  it('does not read the store when its record is too old to be lost', async () => {
    await clock.advance(120_000)
    const { reads } = store.counts
    store.epochs.record(2)
    await clock.advance(RECOVERY_MS)
    assert.equal(store.counts.reads, reads)
  })

  // Another instance may not have rewritten its record yet.
  it('keeps another instance whose record is still missing', async () => {
    await deleteRecord(OTHER_KEY)
    store.epochs.record(2)
    await clock.advance(20_000)
    assert.deepEqual(mesh.listOthers(), ['other'])
  })
})
