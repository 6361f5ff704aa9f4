import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import {
  chooseShard,
  computeReservedBytes,
  createShardRecord,
  EntryStates,
  listShards,
  readShardMap,
  removeEntry,
  reserveEntry,
  ShardLease,
  type StoredOrder,
} from '../src/index.js'

const LEASE_MS = 3_000
const ORDER_DELAY_MS = 500

function createLeases () {
  const clock = new ManualClock()
  const store = new MemoryObjectStore({ clock })
  let ids = 0
  const create = (holder: string) => new ShardLease({
    clock,
    store,
    shard: 's',
    holder,
    leaseMs: LEASE_MS,
    orderDelayMs: ORDER_DELAY_MS,
    createOperationId: () => `${holder}-${ids++}`,
  })
  return { clock, store, one: create('one'), two: create('two') }
}

describe('reserveEntry', () => {
  it('never exceeds the capacity, in any order of reserving and removing', async () => {
    const action = fc.record({ item: fc.constantFrom('a', 'b', 'c', 'd', 'e'), bytes: fc.integer({ min: 1, max: 60 }), remove: fc.boolean() })
    await checkProperty([fc.array(action, { maxLength: 60 })], (actions) => {
      const record = createShardRecord('s')
      record.servers.x = { capacity: 100, entries: [] }
      for (const { item, bytes, remove } of actions) {
        if (remove) removeEntry(record, 'x', item)
        else reserveEntry(record, 'x', { item, bytes, weights: '', state: EntryStates.LOADING })
        assert.ok(computeReservedBytes(record.servers.x) <= 100)
        assert.equal(new Set(record.servers.x.entries.map((entry) => entry.item)).size, record.servers.x.entries.length)
      }
    }, 200)
  })
})

describe('ShardLease', () => {
  it('is acquired by one holder only', async () => {
    const { one, two } = createLeases()
    assert.deepEqual(await Promise.all([one.tryAcquire(), two.tryAcquire()]), [true, false])
  })

  it('is not restored by a renewal that was in flight when it was abandoned', async () => {
    const { one, two } = createLeases()
    await one.tryAcquire()
    const renewing = one.renew()
    one.abandon()
    assert.ok((await renewing).isErr())
    assert.equal(one.isHeld, false)
    assert.equal(await two.tryAcquire({ holder: 'one', fence: 1 }), true)
    assert.equal(one.maySendOrders, false)
  })

  it('is acquired by a successor only after the lease and the maximum order delay', async () => {
    const { clock, one, two } = createLeases()
    await one.tryAcquire()
    await two.tryAcquire()
    await clock.advance(LEASE_MS)
    assert.equal(await two.tryAcquire(), false)
    await clock.advance(ORDER_DELAY_MS + LEASE_MS * 0.05 + 1)
    assert.equal(await two.tryAcquire(), true)
    assert.ok(two.fence > one.fence)
  })

  it('allows no order that could arrive after its expiry', async () => {
    const { clock, one } = createLeases()
    await one.tryAcquire()
    assert.equal(one.maySendOrders, false, 'orders of a former holder may still arrive')
    await clock.advance(ORDER_DELAY_MS)
    assert.equal(one.maySendOrders, true)
    await clock.advance(LEASE_MS - 2 * ORDER_DELAY_MS)
    assert.equal(one.isHeld, true)
    assert.equal(one.maySendOrders, false)
  })

  // Guards against a record of another form, which would end each attempt to acquire the lease with an error.
  it('skips stored orders in another form', async () => {
    const { clock, store, one } = createLeases()
    let former: readonly StoredOrder[] = []
    const ordersInTransit = { list: () => [], recordFormer: (orders: readonly StoredOrder[]) => void (former = orders) }
    const opts = { clock, store, shard: 's', leaseMs: LEASE_MS, orderDelayMs: ORDER_DELAY_MS, createOperationId: () => 'three-0', ordersInTransit }
    const three = new ShardLease({ ...opts, holder: 'three' })
    await one.tryAcquire()
    await one.update((record) => {
      record.released = true
      record.inTransit = [['s1', -5, 'one'], 7, ['s2']] as unknown as StoredOrder[]
    })
    assert.equal(await three.tryAcquire(), true)
    assert.deepEqual(former, [['s1', -5, 'one']])
  })

  it('rejects writes of a former holder after a pause', async () => {
    const { clock, one, two } = createLeases()
    await one.tryAcquire()
    await two.tryAcquire()
    await clock.advance(LEASE_MS * 2)
    await two.tryAcquire()
    assert.equal((await one.renew()).isErr(), true)
    assert.equal(two.isHeld, true)
  })

  it('accepts its own write when the response was lost', async () => {
    const { store, one } = createLeases()
    await one.tryAcquire()
    store.faults.loseAnswers = 1
    assert.equal((await one.update((record) => {
      record.sequence = 7
    })).isOk(), true)
    assert.equal(one.readRecord()?.sequence, 7)
  })

  it('leaves the local record unchanged when a write was lost', async () => {
    const { store, one } = createLeases()
    await one.tryAcquire()
    store.faults.loseWrites = 1
    assert.equal((await one.update((record) => {
      record.sequence = 7
    })).isErr(), true)
    assert.equal(one.readRecord()?.sequence, 0)
    assert.equal((await one.renew()).isOk(), true)
  })

  it('can be acquired at once after a release', async () => {
    const { one, two } = createLeases()
    await one.tryAcquire()
    await one.release()
    assert.equal(await two.tryAcquire(), true)
  })
})

describe('shard map', () => {
  it('is the same for all instances, even with different settings', async () => {
    const { store } = createLeases()
    const maps = await Promise.all([readShardMap(store, 2), readShardMap(store, 5)])
    assert.deepEqual(maps[0], maps[1])
  })

  it('always assigns a server to the same shard', () => {
    const map = { shardsPerRegion: 4 }
    assert.ok(listShards(map, ['r']).includes(chooseShard(map, 'r', 'engine-7')))
    assert.equal(chooseShard(map, 'r', 'engine-7'), chooseShard(map, 'r', 'engine-7'))
  })
})
