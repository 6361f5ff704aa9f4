import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { BodyCollector, HeldBytes, type Holding } from '../src/index.js'

const MAX_BYTES = 1_000

// Guards against bodies and answers that together take more memory than the process has.
describe('HeldBytes', () => {
  let clock: ManualClock
  let held: HeldBytes
  let dropped: string[]

  const open = (name: string, bytes = 0): Holding => {
    const holding = held.open((error) => {
      assert.equal(error.ran, Ran.NO)
      dropped.push(name)
    })
    if (bytes > 0) holding.add(bytes)
    return holding
  }

  beforeEach(() => {
    clock = new ManualClock()
    held = new HeldBytes({ maxBytes: MAX_BYTES, readTime: () => clock.readTime() })
    dropped = []
  })

  it('drops the largest item when there is no more room', () => {
    open('small', 200)
    open('large', 700)
    open('new', 200)
    assert.deepEqual(dropped, ['large'])
    assert.equal(held.heldBytes, 400)
  })

  it('prefers items that are stalled to those that still arrive', async () => {
    open('stalled', 300)
    await clock.advance(1_000)
    open('arriving', 600)
    open('new', 200)
    assert.deepEqual(dropped, ['stalled'])
  })

  it('rejects the item that takes too much itself, once', () => {
    const holding = open('huge')
    assert.throws(() => holding.add(MAX_BYTES + 1), (error) => error instanceof PulleystackError && error.code === 'OVERLOADED')
    assert.throws(() => holding.add(1))
    assert.deepEqual([dropped, held.heldBytes], [[], 0])
    holding.release()
    assert.equal(held.heldBytes, 0)
  })

  it('never drops what has to be kept, and rejects others instead', () => {
    const kept = open('kept', 900)
    kept.keep()
    assert.throws(() => open('new', 200))
    assert.deepEqual(dropped, [])
    kept.release()
    open('later', 200)
    assert.equal(held.heldBytes, 200)
  })
})

// Guards against chunks of a few bytes, each of which kept the whole read buffer that it was part of.
describe('BodyCollector', () => {
  it('takes little more memory than the body has bytes, whatever the chunks are', () => {
    for (const chunkBytes of [1, 7, 1_000, 100_000, 700_000]) {
      let countedBytes = 0
      const collector = new BodyCollector({ add: (bytes) => countedBytes += bytes })
      const buffer = Buffer.alloc(chunkBytes, 'x')
      let size = 0
      for (; size < 700_000; size += chunkBytes) collector.add(buffer)
      assert.ok(countedBytes <= 2 * size + 1_024, `${countedBytes} bytes for a body of ${size} in chunks of ${chunkBytes}`)
      assert.equal(collector.takeBody().toString(), 'x'.repeat(size))
    }
  })

  it('returns an empty body without chunks', () => {
    assert.equal(new BodyCollector().takeBody().length, 0)
  })
})
