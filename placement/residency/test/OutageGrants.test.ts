import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { OutageGrants } from '../src/index.js'

const TURN_MS = 3_000
const GRANT_MS = TURN_MS / 5

interface Node {
  grants: OutageGrants
  /** Monotone time since which the store is lost; undefined while it answers. */
  lostSince: number | undefined
}

describe('grants during an outage of the store', () => {
  let clock: ManualClock
  let hub: FakeHub
  let holder: Node
  let other: Node

  const createNode = (name: string, listOthers: () => string[]): Node => {
    const node: Node = { grants: undefined as unknown as OutageGrants, lostSince: undefined }
    const readLostMs = (): number => node.lostSince === undefined ? 0 : clock.readTime() - node.lostSince
    node.grants = new OutageGrants({
      clock,
      network: hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false }),
      listOthers,
      readStoreLostMs: readLostMs,
      readStoreAgeMs: readLostMs,
      turnMs: TURN_MS,
      isEnabled: true,
    })
    node.grants.start()
    return node
  }
  const lose = async (...nodes: Node[]): Promise<void> => {
    for (const node of nodes) node.lostSince = clock.readTime()
    await clock.advance(1_000)
  }
  const ask = async (): Promise<void> => {
    holder.grants.ask()
    await clock.advance(10)
  }

  beforeEach(() => {
    clock = new ManualClock()
    hub = new FakeHub({ clock, random: new RandomSource(1) })
    holder = createNode('holder', () => ['other'])
    other = createNode('other', () => ['holder'])
  })

  it('let the holder go on for a fifth of the turn, and no longer without a new word', async () => {
    await lose(holder, other)
    assert.equal(holder.grants.isGranted, false)
    await ask()
    assert.equal(holder.grants.isGranted, true)
    await clock.advance(GRANT_MS)
    assert.equal(holder.grants.isGranted, false)
  })

  it('bind who gave them for a whole turn after the last order that they allow', async () => {
    await lose(holder, other)
    await ask()
    await clock.advance(GRANT_MS + TURN_MS - 20)
    assert.equal(other.grants.isPromised, true)
    await clock.advance(100)
    assert.equal(other.grants.isPromised, false)
  })

  it('are not given by one that reaches the store, which says so', async () => {
    await lose(holder)
    await ask()
    assert.equal(holder.grants.isGranted, false)
    assert.equal(holder.grants.isContradicted, true)
    assert.equal(other.grants.isPromised, false)
  })

  it('need the word of every other instance that may exist', async () => {
    holder = createNode('holder', () => ['other', 'dead'])
    await lose(holder, other)
    await ask()
    assert.equal(holder.grants.isGranted, false)
  })

  it('are for nothing once the store answers the holder', async () => {
    await lose(holder, other)
    await ask()
    holder.lostSince = undefined
    assert.equal(holder.grants.isGranted, false)
  })
})
