import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { taskFailures } from '@pulleystack/core.tasks'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { ExclusiveRunRule, Quarantine } from '../src/index.js'

class BrokenStore extends MemoryObjectStore {
  override listObjects (): never {
    throw new TypeError('The records have another shape')
  }
}

// Guards against records of crashes that can't be read and fail every request that waits for them.
describe('a quarantine whose records cannot be read', () => {
  const signal = new AbortController()
  let clock: ManualClock
  let failures: number
  let subscription: { unsubscribe: () => void }

  beforeEach(() => {
    clock = new ManualClock()
    failures = 0
    subscription = taskFailures.subscribe(() => failures++)
  })

  afterEach(() => {
    signal.abort()
    subscription.unsubscribe()
  })

  it('admits requests, and tries again', async () => {
    const identity = { instance: 'e1', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false }
    const network = new FakeHub({ clock, random: new RandomSource(1) }).createNode(identity)
    const membership = { instance: 'e1', listServing: () => [] }
    const quarantine = new Quarantine({ clock, network, membership, rule: new ExclusiveRunRule(), store: new BrokenStore({ clock }) })
    quarantine.start(signal.signal)
    const request = { identity: 'r', shared: [] }
    assert.ok(await quarantine.acquire(request, 1_000, signal.signal))
    await clock.advance(1_000)
    assert.ok(await quarantine.acquire(request, 1_000, signal.signal))
    assert.ok(failures > 1, `${failures} failures`)
  })
})
