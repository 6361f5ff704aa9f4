import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { err } from 'neverthrow'
import { ManualClock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { MAX_TRANSIT_MS } from '../../src/OrderArrivals.js'
import { ServerLoads } from '../../src/ServerLoads.js'
import { RecordingServers, SERVING } from '../RecordingServers.js'
import { TURN_MS } from '../ResidencyNode.js'
import { judgeArrivals } from './judgeArrivals.js'
import { LeaseWorld } from './LeaseWorld.js'
import { playHistory } from './playHistory.js'
import { applyStep } from './steps.js'

const GAP_MS = 3_150
const opts = { instances: ['n1', 'n2', 'n3'], servers: ['r1', 'r2'] }

function findFirst (world: LeaseWorld, server: string, from: number, fence: number): number {
  return (world.servers.received.find((it) => it.server === server && it.at > from && it.fence >= fence)?.at ?? Infinity) - from
}

describe('orders of two holders', () => {
  // Guards against a lease that counts as expired, since the write that took it over was given up and landed later (ONE).
  it('are kept apart when the acquisition of a released lease lands although its connection was lost', async () => {
    const world = new LeaseWorld(opts)
    await world.clock.advance(6_000)
    const { holder } = world
    applyStep(world, 'losePeersOut')
    // An instance that reads the store for the first time waits for a holder of a former epoch.
    await world.clock.advance(6_000)
    for (const { store } of world.living.filter((it) => it !== holder)) {
      const write = store.writeObject.bind(store)
      store.writeObject = (key, value, version) => {
        store.writeObject = write
        const sent = structuredClone(value)
        world.clock.setTimer(20, () => void world.shared.writeObject(key, sent, version))
        return Promise.resolve(err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'The connection was lost')))
      }
    }
    applyStep(world, 'stop')
    for (let turn = 0; turn < 40; turn++) await world.clock.advance(200)
    assert.deepEqual([...judgeArrivals(world.servers.received, TURN_MS)], [])
  })

  // Guards against a successor that was told of nothing while it was on standby (ONE).
  it('are kept apart when the successor was on standby until the holder was killed', async () => {
    const world = new LeaseWorld(opts)
    await world.clock.advance(6_000)
    const announceStandby = (standby: boolean): void => {
      const identity = world.hub.findNode('n3')?.identity
      assert.ok(identity)
      for (const name of ['n1', 'n2']) world.hub.findNode(name)?.events.next({ kind: 'heard', identity: { ...identity, standby } })
    }
    // Broadcasts skip standby peers; the promotion opens no new link.
    announceStandby(true)
    for (const from of ['n1', 'n2']) world.hub.silence(from, 'n3')
    await world.clock.advance(200)
    applyStep(world, 'lateOrder8')
    await world.clock.advance(20)
    applyStep(world, 'kill')
    await world.clock.advance(50)
    world.hub.healAll()
    announceStandby(false)
    for (let turn = 0; turn < 80; turn++) await world.clock.advance(200)
    assert.deepEqual([...judgeArrivals(world.servers.received, TURN_MS)], [])
  })

  // Guards against a wait for an order in transit that a fast clock ends too soon (ONE).
  it('are kept apart when the clocks of successors are 5% fast', async () => {
    const { faults } = await playHistory([['lateOrder12', 400], ['kill', 14_000]], { readSpeed: (name) => name === 'n1' ? 1 : 1.05 })
    assert.deepEqual([...faults], [])
  })
})

describe('a server that an order may still reach', () => {
  // Guards against a holder that leaves its own servers alone for 15 s after a link to a peer has broken.
  it('is not left alone by the holder because a peer with a new link tells of the answered order of that holder', async () => {
    const world = new LeaseWorld(opts)
    await world.clock.advance(6_000)
    const { holder } = world
    const peer = world.living.find((it) => it !== holder)
    assert.ok(holder && peer)
    const count = world.servers.received.length
    while (world.servers.received.length === count) await world.clock.advance(1)
    const server = world.servers.received.at(-1)?.server ?? ''
    // The link breaks between the announcement of the order and that of its answer.
    world.hub.silence(holder.node.name, peer.node.name)
    await world.clock.advance(20)
    world.hub.healAll()
    const relinking = world as unknown as { openLinks: (name: string) => void }
    relinking.openLinks(peer.node.name)
    const from = world.clock.readTime()
    for (let turn = 0; turn < 100; turn++) await world.clock.advance(200)
    const ms = findFirst(world, server, from, 1)
    assert.ok(ms < 1_000, `no order for ${ms} ms`)
  })

  // Guards against a wait that is counted from when the successor acquires the lease, not from when the record was written.
  it('is left alone no longer than an order may take and the minimum time', async () => {
    const world = new LeaseWorld(opts)
    await world.clock.advance(6_000)
    const from = world.clock.readTime()
    applyStep(world, 'loseOrder')
    await world.clock.advance(1_000)
    applyStep(world, 'kill')
    for (let turn = 0; turn < 130; turn++) await world.clock.advance(200)
    const lostUntilMs = 400
    const ms = Math.max(...opts.servers.map((it) => findFirst(world, it, from, 2)))
    assert.ok(ms < lostUntilMs + MAX_TRANSIT_MS + GAP_MS + 1_000, `no order for ${ms} ms`)
  })

  // Guards against a model that no request is sent to while its server still serves it.
  it('serves the model that is about to be unloaded while it is left alone', async () => {
    const clock = new ManualClock()
    const servers = new RecordingServers(clock)
    servers.add('r1', 'a', 'b', 'c')
    const models = ['a', 'b', 'c'].map((name) => ({ name, adapters: [] }))
    const fleet = new BackendFleet()
    fleet.put({ id: 'r1', service: 's', address: 'r1:1', dataHall: 'z', slots: 8, draining: false, models, inMemory: [], onDisk: [] })
    let goneAt = Infinity
    const loads = new ServerLoads({
      clock,
      fleet,
      weights: servers,
      log: new NullDecisionLog(),
      holderName: 'n@1',
      minHandoverGapMs: GAP_MS,
      readPermit: () => ({ holder: 'n', fence: 2, origin: 'expired', leftMs: 1_000 }),
      onChange: ({ model, present }) => {
        if (model === 'a' && !present) goneAt = Math.min(goneAt, clock.readTime())
      },
    })
    loads.recordTold('x', [['r1', -MAX_TRANSIT_MS + 1_000, 'x@1']])
    void loads.run(SERVING, { server: 'r1', model: 'd', victims: ['a'], clearMs: 0, loadMs: 100, fromStore: true })
    for (let turn = 0; turn < 100; turn++) await clock.advance(200)
    const ms = (servers.received[0]?.at ?? Infinity) - goneAt
    assert.ok(ms < 1_000, `announced as gone ${ms} ms before the order`)
  })
})
