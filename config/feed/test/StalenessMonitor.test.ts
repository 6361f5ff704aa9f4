import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Err } from 'neverthrow'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { DecisionKinds, DecisionLog, type DecisionFacts, type DecisionKind } from '@pulleystack/timeline.decisions'
import { StalenessMonitor, StoreFeed } from '../src/index.js'

const PREFIX = 'things/'
const KEY = `${PREFIX}x`

class RecordingLog extends DecisionLog {
  readonly lines: { kind: DecisionKind, facts: unknown }[] = []

  record<Kind extends DecisionKind> (kind: Kind, facts: DecisionFacts[Kind]): void {
    this.lines.push({ kind, facts })
  }

  list<Kind extends DecisionKind> (kind: Kind): DecisionFacts[Kind][] {
    return this.lines.filter((line) => line.kind === kind).map((line) => line.facts as DecisionFacts[Kind])
  }
}

/** A store whose calls fail or never complete. */
class FaultyStore extends MemoryObjectStore {
  state: 'good' | 'silent' | 'failing' = 'good'

  override async waitForChanges (...args: Parameters<ObjectStore['waitForChanges']>): ReturnType<ObjectStore['waitForChanges']> {
    if (this.state === 'good') return super.waitForChanges(...args)
    if (this.state === 'silent') await new Promise(() => undefined)
    return new Err(new PulleystackError('STORE_UNAVAILABLE', 'no answer in time'))
  }
}

describe('StalenessMonitor', () => {
  let clock: ManualClock
  let store: FaultyStore
  let log: RecordingLog
  let abort: AbortController
  let candidates: string[]

  const start = (): void => {
    const network = new FakeHub({ clock, random: new RandomSource(3) })
      .createNode({ instance: 'n1', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const feed = new StoreFeed({
      clock,
      random: new RandomSource(7),
      store,
      network,
      log,
      prefix: PREFIX,
      instance: 'n1',
      minExpiryMs: 2_400,
      listCandidates: () => candidates,
      onListing: () => undefined,
      onChanges: () => undefined,
    })
    feed.start(abort.signal)
    new StalenessMonitor({ clock, log, feed, prefix: PREFIX }).start(abort.signal)
  }

  beforeEach(async () => {
    clock = new ManualClock()
    store = new FaultyStore({ clock })
    log = new RecordingLog()
    abort = new AbortController()
    candidates = ['n1']
    await store.writeObject(KEY, 1, 0)
    start()
    await clock.advance(5_000)
  })

  afterEach(() => abort.abort())

  it('logs nothing while the replica stays current', () => {
    assert.deepEqual(log.list(DecisionKinds.COPY_STALE), [])
    assert.deepEqual(log.list(DecisionKinds.COPY_CURRENT), [])
  })

  describe('while calls to the store fail', () => {
    beforeEach(async () => {
      store.state = 'failing'
      await clock.advance(4_000)
    })

    it('logs once that the replica is stale, before it is 2 s old', () => {
      const [stale, ...more] = log.list(DecisionKinds.COPY_STALE)
      assert.equal(more.length, 0)
      assert.ok(stale?.ageMs !== undefined && stale.ageMs > 1_500 && stale.ageMs <= 2_000, `${stale?.ageMs}`)
      assert.deepEqual({ ...stale, ageMs: 0 }, { prefix: PREFIX, ageMs: 0, revision: 1, isWatcher: true, cause: 'store-lost' })
    })

    it('logs the error of the failed call', () => {
      const [lost] = log.list(DecisionKinds.DEPENDENCY_LOST)
      assert.deepEqual(lost, { dependency: 'store', prefix: PREFIX, revision: 1, code: 'STORE_UNAVAILABLE', reason: 'no answer in time' })
    })

    it('logs that the replica is current once the store responds', async () => {
      store.state = 'good'
      await clock.advance(2_000)
      const [current, ...more] = log.list(DecisionKinds.COPY_CURRENT)
      assert.equal(more.length, 0)
      assert.equal(current?.revision, 1)
      assert.ok((current?.staleMs ?? 0) > 1_500)
    })
  })

  describe('while a call to the store does not complete and nothing else arrives', () => {
    it('logs that the replica is stale while a call is in progress', async () => {
      store.state = 'silent'
      await clock.advance(4_000)
      assert.deepEqual(log.list(DecisionKinds.COPY_STALE).map((stale) => stale.cause), ['asking'])
    })
  })

  describe('when the watcher changes', () => {
    it('logs when this instance starts and stops watching', async () => {
      candidates = ['n2']
      await clock.advance(1_000)
      assert.deepEqual(log.list(DecisionKinds.WATCHER_CHANGED), [{ prefix: PREFIX, isWatcher: true }, { prefix: PREFIX, isWatcher: false }])
    })
  })
})
