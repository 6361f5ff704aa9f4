import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { ChangeBatch, ObjectStore } from '@pulleystack/backend.interfaces'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { err, type Result } from 'neverthrow'
import { StoreFeed } from '../src/index.js'

const PREFIX = 'things/'
const KEY = `${PREFIX}x`
/** A whole configuration in one object. */
const OBJECT_BYTES = 13_000
const CHANGE_EVERY_MS = 150
/** A link of 10 Mbit/s, less heads of packets and answers to clients. */
const DOWNLINK_BYTES_PER_SECOND = 1_000_000
/** What the platform's adapter waits for beyond the time that a call may be held. */
const EXTRA_MS = 700
const CALL_MS = 1_500
const CUT_MS = 20_000
/** Bounds of the platform are two seconds and more. */
const IN_FORCE_MS = 1_900

/** A way to a store whose answers come over a narrow link; one that takes longer than the call may is lost. */
class NarrowPath extends MemoryObjectStore {
  isCut = false

  constructor (private readonly way: { clock: ManualClock, shared: MemoryObjectStore }) {
    super({ clock: way.clock })
  }

  override async listObjects (prefix: string): ReturnType<ObjectStore['listObjects']> {
    return this.carry(await this.way.shared.listObjects(prefix), CALL_MS)
  }

  override async waitForChanges (prefix: string, after: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    const askedAt = this.way.clock.readTime()
    const answer = await this.way.shared.waitForChanges(prefix, after, waitMs, signal)
    return this.carry(answer, waitMs + EXTRA_MS - (this.way.clock.readTime() - askedAt))
  }

  private async carry<T> (answer: Result<T, PulleystackError>, leftMs: number): Promise<Result<T, PulleystackError>> {
    const ms = JSON.stringify(answer.unwrapOr(null)).length / DOWNLINK_BYTES_PER_SECOND * 1000
    await this.way.clock.wait(Math.min(ms, leftMs))
    return this.isCut || ms > leftMs ? err(new PulleystackError('STORE_UNAVAILABLE', 'no answer in time')) : answer
  }
}

describe('a feed that was out of touch while a large object changed often', () => {
  let clock: ManualClock
  let shared: MemoryObjectStore
  let path: NarrowPath
  let feed: StoreFeed
  let held: number

  const write = async (): Promise<number> => {
    const standing = (await shared.readObject(KEY))._unsafeUnwrap()
    return (await shared.writeObject(KEY, 'x'.repeat(OBJECT_BYTES), standing?.version ?? 0))._unsafeUnwrap()
  }

  beforeEach(async () => {
    clock = new ManualClock()
    shared = new MemoryObjectStore({ clock })
    path = new NarrowPath({ clock, shared })
    held = 0
    await write()
    const network = new FakeHub({ clock, random: new RandomSource(3) })
      .createNode({ instance: 'n1', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    feed = new StoreFeed({
      clock,
      random: new RandomSource(7),
      store: path,
      network,
      log: new SilentDecisionLog(),
      prefix: PREFIX,
      instance: 'n1',
      listCandidates: () => ['n1'],
      onListing: (objects) => objects.forEach(({ version }) => { held = version }),
      onChanges: (changes) => changes.forEach(({ version }) => { held = version }),
    })
    feed.start(new AbortController().signal)
    await clock.advance(2_000)
    path.isCut = true
    const end = clock.readTime() + CUT_MS
    while (clock.readTime() < end) {
      await write()
      await clock.advance(CHANGE_EVERY_MS)
    }
    path.isCut = false
  })

  it('has the newest change in force in time once the store answers, though the history does not fit into one call', async () => {
    const newest = await write()
    await clock.advance(2 * IN_FORCE_MS)
    assert.equal(held, newest)
    assert.ok(feed.ageMs < IN_FORCE_MS)
  })
})
