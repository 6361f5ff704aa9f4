import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { findBudget } from '../src/ByteBudget.js'

describe('what feeds may put on a link', () => {
  const clock = new ManualClock()
  const hub = new FakeHub({ clock, random: new RandomSource(1) })
  const join = (instance: string): FakeNetwork => hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })

  it('is one budget for all feeds of an instance, since they share its link', () => {
    const [first, second] = [join('a'), join('b')]
    assert.equal(findBudget(clock, first), findBudget(clock, first))
    assert.notEqual(findBudget(clock, first), findBudget(clock, second))
  })
})
