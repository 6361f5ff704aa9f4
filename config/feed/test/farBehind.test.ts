import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { ChangeBatch, ObjectStore } from '@pulleystack/backend.interfaces'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { err, type Result } from 'neverthrow'
import { StoreFeed } from '../src/index.js'

const PREFIX = 'things/'
const KEY = `${PREFIX}x`
/** Size of a whole configuration in one object. */
const OBJECT_BYTES = 13_000
const WRITE_INTERVAL_MS = 150
/** A 10 Mbit/s link, less packet headers and responses to clients. */
const DOWNLINK_BYTES_PER_SECOND = 1_000_000
/** Time that the store's client allows beyond the wait of a call. */
const RESPONSE_MARGIN_MS = 700
const LISTING_TIMEOUT_MS = 1_500
const OUTAGE_MS = 20_000
/** Below the 2 s within which a change must take effect. */
const MAX_PROPAGATION_MS = 1_900

/** A connection to a store over a narrow link; a response that takes longer than the call's timeout is lost. */
class NarrowPath extends MemoryObjectStore {
  isCut = false

  constructor (private readonly connection: { clock: ManualClock, shared: MemoryObjectStore }) {
    super({ clock: connection.clock })
  }

  override async listObjects (prefix: string): ReturnType<ObjectStore['listObjects']> {
    return this.deliver(await this.connection.shared.listObjects(prefix), LISTING_TIMEOUT_MS)
  }

  override async waitForChanges (prefix: string, after: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    const askedAt = this.connection.clock.readTime()
    const answer = await this.connection.shared.waitForChanges(prefix, after, waitMs, signal)
    return this.deliver(answer, waitMs + RESPONSE_MARGIN_MS - (this.connection.clock.readTime() - askedAt))
  }

  private async deliver<T> (answer: Result<T, PulleystackError>, timeoutMs: number): Promise<Result<T, PulleystackError>> {
    const transferMs = JSON.stringify(answer.unwrapOr(null)).length / DOWNLINK_BYTES_PER_SECOND * 1000
    await this.connection.clock.wait(Math.min(transferMs, timeoutMs))
    return this.isCut || transferMs > timeoutMs ? err(new PulleystackError('STORE_UNAVAILABLE', 'no answer in time')) : answer
  }
}

describe('a feed that was disconnected while a large object changed often', () => {
  let clock: ManualClock
  let shared: MemoryObjectStore
  let path: NarrowPath
  let feed: StoreFeed
  let latestVersion: number

  const write = async (): Promise<number> => {
    const existing = (await shared.readObject(KEY))._unsafeUnwrap()
    return (await shared.writeObject(KEY, 'x'.repeat(OBJECT_BYTES), existing?.version ?? 0))._unsafeUnwrap()
  }

  beforeEach(async () => {
    clock = new ManualClock()
    shared = new MemoryObjectStore({ clock })
    path = new NarrowPath({ clock, shared })
    latestVersion = 0
    await write()
    const network = new FakeHub({ clock, random: new RandomSource(3) })
      .createNode({ instance: 'n1', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    feed = new StoreFeed({
      clock,
      random: new RandomSource(7),
      store: path,
      network,
      log: new NullDecisionLog(),
      prefix: PREFIX,
      instance: 'n1',
      minExpiryMs: 2_400,
      listCandidates: () => ['n1'],
      onListing: (objects) => objects.forEach(({ version }) => { latestVersion = version }),
      onChanges: (changes) => changes.forEach(({ version }) => { latestVersion = version }),
    })
    feed.start(new AbortController().signal)
    await clock.advance(2_000)
    path.isCut = true
    const end = clock.readTime() + OUTAGE_MS
    while (clock.readTime() < end) {
      await write()
      await clock.advance(WRITE_INTERVAL_MS)
    }
    path.isCut = false
  })

  it('applies the newest change in time once the store responds, although the history does not fit into one call', async () => {
    const newest = await write()
    await clock.advance(2 * MAX_PROPAGATION_MS)
    assert.equal(latestVersion, newest)
    assert.ok(feed.ageMs < MAX_PROPAGATION_MS)
  })
})
