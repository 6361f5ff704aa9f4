import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ModelServing } from '@pulleystack/config.routes'
import { computeUsedMb, hasRoom } from '../src/index.js'

const SERVING: ModelServing = {
  batchSlots: 8,
  cacheTokens: 100_000,
  weightsMb: 130,
  adapterSlots: 8,
  loadsPerSecond: 2,
  models: ['a', 'b'].map((name) => ({ name, weightsMb: 60, adapterMb: 4, adapters: 9, loadSeconds: 4, diskSeconds: 0.8, memorySeconds: 0.4 })),
}

describe('memory of a model server', () => {
  it('is used by models, their adapters and pending adapters', () => {
    assert.equal(computeUsedMb(SERVING, { models: [{ name: 'a', adapters: ['x', 'y'] }], loadingAdapters: ['a/z@1'] }), 60 + 3 * 4)
  })

  it('has no room for a model when adapters occupy too much', () => {
    assert.equal(hasRoom(SERVING, { models: [{ name: 'a', adapters: ['x', 'y'] }], loadingAdapters: [] }, 'b', false), true)
    assert.equal(hasRoom(SERVING, { models: [{ name: 'a', adapters: ['x', 'y', 'z'] }], loadingAdapters: [] }, 'b', false), false)
  })

  it('has no room for an adapter when models occupy too much', () => {
    const state = { models: [{ name: 'a', adapters: ['x'] }, { name: 'b', adapters: ['y'] }], loadingAdapters: [] }
    assert.equal(hasRoom(SERVING, state, 'a', true), false)
  })

  it('has no room for a model of unknown size, or next to one', () => {
    assert.equal(hasRoom(SERVING, { models: [{ name: 'foreign', adapters: [] }], loadingAdapters: [] }, 'a', true), false)
    assert.equal(hasRoom(SERVING, { models: [], loadingAdapters: [] }, 'foreign', false), false)
  })
})
