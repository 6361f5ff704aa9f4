import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { findOrCreateBudget } from '../src/ByteBudget.js'

describe('the byte budget of feeds', () => {
  const clock = new ManualClock()
  const hub = new FakeHub({ clock, random: new RandomSource(1) })
  const join = (instance: string): FakeNetwork => hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })

  it('is shared by all feeds of an instance', () => {
    const [first, second] = [join('a'), join('b')]
    assert.equal(findOrCreateBudget(clock, first), findOrCreateBudget(clock, first))
    assert.notEqual(findOrCreateBudget(clock, first), findOrCreateBudget(clock, second))
  })
})
