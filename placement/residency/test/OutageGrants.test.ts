import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { OutageGrants } from '../src/index.js'

const TURN_MS = 3_000
const GRANT_MS = TURN_MS / 5

interface Node {
  grants: OutageGrants
  /** Monotonic time at which the store was lost; undefined while it responds. */
  storeLostSince: number | undefined
  fence: number
  newestFence: number
}

describe('OutageGrants', () => {
  let clock: ManualClock
  let hub: FakeHub
  let holder: Node
  let other: Node

  const createNode = (name: string, listOtherInstances: () => string[]): Node => {
    const node: Node = { grants: undefined as unknown as OutageGrants, storeLostSince: undefined, fence: 1, newestFence: 1 }
    const readLostMs = (): number => node.storeLostSince === undefined ? 0 : clock.readTime() - node.storeLostSince
    node.grants = new OutageGrants({
      clock,
      network: hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false }),
      listOtherInstances,
      readStoreLostMs: readLostMs,
      readStoreSilenceMs: readLostMs,
      readFence: () => node.fence,
      readNewestFence: () => node.newestFence,
      minHandoverGapMs: TURN_MS,
      isEnabled: true,
    })
    node.grants.start()
    return node
  }
  const loseStore = async (...nodes: Node[]): Promise<void> => {
    for (const node of nodes) node.storeLostSince = clock.readTime()
    await clock.advance(1_000)
  }
  const requestGrants = async (): Promise<void> => {
    holder.grants.requestGrants()
    await clock.advance(10)
  }

  beforeEach(() => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(1) })
    holder = createNode('holder', () => ['other'])
    other = createNode('other', () => ['holder'])
  })

  // Guards against two holders that continue with the grants of each other, after one of them was suspended (ONE).
  it('does not let a holder continue that has a successor', async () => {
    other.newestFence = 2
    await loseStore(holder, other)
    await requestGrants()
    assert.equal(holder.grants.isGrantedByAll, false)
    holder.fence = 2
    await requestGrants()
    assert.equal(holder.grants.isGrantedByAll, true)
  })

  it('lets the holder continue for a fifth of minHandoverGapMs unless the grant is renewed', async () => {
    await loseStore(holder, other)
    assert.equal(holder.grants.isGrantedByAll, false)
    await requestGrants()
    assert.equal(holder.grants.isGrantedByAll, true)
    await clock.advance(GRANT_MS)
    assert.equal(holder.grants.isGrantedByAll, false)
  })

  it('binds the granting instance for minHandoverGapMs after the grant has expired', async () => {
    await loseStore(holder, other)
    await requestGrants()
    await clock.advance(GRANT_MS + TURN_MS - 20)
    assert.equal(other.grants.isPromised, true)
    await clock.advance(100)
    assert.equal(other.grants.isPromised, false)
  })

  it('is not granted by an instance that reaches the store, and is contradicted by it', async () => {
    await loseStore(holder)
    await requestGrants()
    assert.equal(holder.grants.isGrantedByAll, false)
    assert.equal(holder.grants.isContradicted, true)
    assert.equal(other.grants.isPromised, false)
  })

  it('needs a grant from every other instance that may exist', async () => {
    holder = createNode('holder', () => ['other', 'dead'])
    await loseStore(holder, other)
    await requestGrants()
    assert.equal(holder.grants.isGrantedByAll, false)
  })

  it('does not count once the holder reaches the store again', async () => {
    await loseStore(holder, other)
    await requestGrants()
    holder.storeLostSince = undefined
    assert.equal(holder.grants.isGrantedByAll, false)
  })
})
