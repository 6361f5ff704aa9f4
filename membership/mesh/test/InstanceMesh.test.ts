import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { StoreEpochs, type ObjectStore } from '@pulleystack/backend.interfaces'
import { ManualClock } from '@pulleystack/core.clock'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import type { PeerEvent, PeerIdentity, WebSocketNetwork } from '@pulleystack/membership.peers'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { EMPTY, Subject } from 'rxjs'
import { InstanceMesh } from '../src/index.js'

const OTHERS = 27
const STANDING_BY = 8
/** Lists are sent by five in a second at the most. */
const MOMENT_MS = 1_000
const LISTS_PER_MOMENT = 6

function createIdentity (instance: string, standby: boolean): PeerIdentity {
  return { instance, incarnation: 1, address: `${instance}:1`, peerAddress: `${instance}:2`, region: '', dataHall: '', leaving: standby, standby }
}

describe('an instance that serves in a large system', () => {
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
    mesh = new InstanceMesh({ clock, store, network, log: new SilentDecisionLog(), self: createIdentity('own', false), seeds: [], settleMs: 0 })
    mesh.start(new AbortController().signal)
    for (let at = 0; at < STANDING_BY; at++) events.next({ kind: 'heard', identity: createIdentity(`standing${at}`, true) })
    lists = []
  })

  it('tells those on standby of all that join at one time together', async () => {
    for (let at = 0; at < OTHERS; at++) {
      events.next({ kind: 'heard', identity: createIdentity(`e${at}`, false) })
      await clock.advance(MOMENT_MS / OTHERS)
    }
    await clock.advance(MOMENT_MS)
    assert.ok(lists.length <= STANDING_BY * LISTS_PER_MOMENT, `${lists.length} lists`)
    for (let at = 0; at < STANDING_BY; at++) {
      const newest = lists.filter(({ to }) => to === `standing${at}`).at(-1)
      assert.equal(newest?.names.length, OTHERS + 1)
    }
  })

  it('tells one that begins to stand by at once', () => {
    events.next({ kind: 'heard', identity: createIdentity('late', true) })
    assert.deepEqual(lists.map(({ to }) => to), ['late'])
    assert.deepEqual(mesh.listServing(), [])
  })

  // A list that was on its way when a link fell silent never comes, and the next one would follow only with the next change.
  it('tells one that stands by again when a new link to it is up', () => {
    events.next({ kind: 'heard', identity: createIdentity('standing0', true), isNewLink: true })
    events.next({ kind: 'heard', identity: createIdentity('standing0', true) })
    assert.deepEqual(lists.map(({ to }) => to), ['standing0'])
  })
})

describe('an instance that stands by in a large system', () => {
  const tellers = new Subject<{ from: string, body: PeerIdentity[] }>()
  let events: Subject<PeerEvent>
  let mesh: InstanceMesh

  const nameServing = (): string[] => mesh.listServing().map((identity) => identity.instance)

  beforeEach(() => {
    events = new Subject()
    const network = {
      peerEvents: events,
      receive: () => tellers,
      handleCalls: () => undefined,
      setNeighbours: () => undefined,
      send: () => true,
    } as unknown as WebSocketNetwork
    const store = { epochs: new StoreEpochs(), listObjects: () => new Promise(() => undefined) } as unknown as ObjectStore
    mesh = new InstanceMesh({ clock: new ManualClock(), store, network, log: new SilentDecisionLog(), self: createIdentity('own', true), seeds: [], settleMs: 0 })
    mesh.start(new AbortController().signal)
    events.next({ kind: 'heard', identity: createIdentity('teller', false) })
  })

  it('names those that it was told of', () => {
    tellers.next({ from: 'teller', body: [createIdentity('teller', false), createIdentity('told', false)] })
    assert.deepEqual(nameServing(), ['teller', 'told'])
  })

  // What a peer says of itself is newer than what a third one says of it: an instance that had said that it leaves was named again.
  it('believes a peer that leaves, not the list of another that does not know it yet', () => {
    events.next({ kind: 'heard', identity: createIdentity('leaver', false) })
    events.next({ kind: 'heard', identity: { ...createIdentity('leaver', false), leaving: true } })
    tellers.next({ from: 'teller', body: [createIdentity('teller', false), createIdentity('leaver', false)] })
    assert.deepEqual(nameServing(), ['teller'])
  })

  it('believes no list of a peer that leaves, which hears of no change any more', () => {
    tellers.next({ from: 'teller', body: [createIdentity('teller', false), createIdentity('told', false)] })
    events.next({ kind: 'heard', identity: { ...createIdentity('teller', false), leaving: true } })
    assert.deepEqual(nameServing(), [])
  })

  for (const kind of ['silent', 'closed'] as const) {
    it(`forgets what it was told by a peer whose link is ${kind}`, () => {
      tellers.next({ from: 'teller', body: [createIdentity('teller', false), createIdentity('told', false)] })
      events.next({ kind, instance: 'teller' })
      assert.deepEqual(nameServing(), [])
      events.next({ kind: 'heard', identity: createIdentity('teller', false), isNewLink: true })
      assert.deepEqual(nameServing(), ['teller'])
    })
  }

  it('believes a list that names a later life of a peer that had left', () => {
    events.next({ kind: 'heard', identity: { ...createIdentity('leaver', false), leaving: true } })
    tellers.next({ from: 'teller', body: [{ ...createIdentity('leaver', false), incarnation: 2 }] })
    assert.deepEqual(nameServing(), ['teller', 'leaver'])
  })
})

describe('an instance whose store comes back from an older copy', () => {
  const KEY = 'instances/own'
  const OTHER = 'instances/other'
  /** All instances look within this time; listings are 15 s apart. */
  const SOON_MS = 2_000
  let clock: ManualClock
  let store: MemoryObjectStore
  let mesh: InstanceMesh

  const readVersion = async (key: string): Promise<number> => (await store.readObject(key))._unsafeUnwrap()?.version ?? 0
  const lose = async (key: string): Promise<void> => {
    await store.deleteObject(key, await readVersion(key))
  }

  beforeEach(async () => {
    clock = new ManualClock()
    store = new MemoryObjectStore({ clock })
    store.epochs.note(1)
    await store.writeObject(OTHER, { peerAddress: 'other:2', dataHall: '', capacity: 1 }, 0)
    const network = {
      peerEvents: EMPTY,
      receive: () => EMPTY,
      handleCalls: () => undefined,
      setNeighbours: () => undefined,
      send: () => true,
    } as unknown as WebSocketNetwork
    mesh = new InstanceMesh({ clock, store, network, log: new SilentDecisionLog(), self: createIdentity('own', false), seeds: [], settleMs: 0 })
    mesh.start(new AbortController().signal)
    await clock.advance(SOON_MS)
  })

  // Guards against an instance that nobody who starts later can find until the next listing.
  it('writes its record again that was lost', async () => {
    await lose(KEY)
    store.epochs.note(2)
    await clock.advance(SOON_MS)
    assert.notEqual(await readVersion(KEY), 0)
  })

  it('does so as soon as the store answers', async () => {
    await lose(KEY)
    store.epochs.note(2)
    store.faults.down = true
    await clock.advance(SOON_MS)
    store.faults.down = false
    await clock.advance(SOON_MS)
    assert.notEqual(await readVersion(KEY), 0)
  })

  it('asks for nothing where its record is older than any loss', async () => {
    await clock.advance(120_000)
    const { reads } = store.counts
    store.epochs.note(2)
    await clock.advance(SOON_MS)
    assert.equal(store.counts.reads, reads)
  })

  // Guards against forgetting an instance that has not written itself again yet.
  it('forgets no other whose record is not there again', async () => {
    await lose(OTHER)
    store.epochs.note(2)
    await clock.advance(20_000)
    assert.deepEqual(mesh.listOthers(), ['other'])
  })
})
