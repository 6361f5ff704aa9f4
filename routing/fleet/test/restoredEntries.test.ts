import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { buildVersion } from '@pulleystack/backend.interfaces'
import { ManualClock } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { BackendDirectory, BackendFleet, type BackendEntry } from '../src/index.js'

const DRAIN_MS = 2_000

const SERVERS = ['a', 'b', 'c', 'd']
/** Entries expire after three missed heartbeats. */
const EXPIRY_MS = 3_600
const HEARTBEAT_MS = 1_200
/** PULLEYSTACK_EXPLORE=1 runs many more cases. */
const RUNS = process.env['PULLEYSTACK_EXPLORE'] === undefined ? 300 : 50_000

interface Entry {
  draining: boolean
  version: number
}

/** A store of entries that is restored from older snapshots, with an instance that lists it and receives each change. */
class RestorableStore {
  readonly clock = new ManualClock()
  readonly fleet = new BackendFleet()
  /** Running servers, and whether each is draining; a server never stops draining. */
  readonly running = new Map<string, boolean>()
  /** Servers that the instance was told are draining. */
  readonly knownDraining = new Set<string>()
  private readonly directory: BackendDirectory
  private entries = new Map<string, Entry>()
  private snapshot = new Map<string, Entry>()
  private epoch = 0
  private revision = 0
  private snapshotRevision = 0
  private restoredAt = -Infinity
  private nextIncarnation = 0

  constructor () {
    const { clock, fleet } = this
    this.directory = new BackendDirectory({ clock, fleet, readMsSinceRecovery: () => clock.readTime() - this.restoredAt, drainMs: DRAIN_MS })
  }

  /** Starts a server; each incarnation has its own id. */
  start (name: string): void {
    const id = `${name}${this.nextIncarnation++}`
    this.running.set(id, false)
    this.write(id)
  }

  drain (index: number): void {
    const id = this.pick(index)
    if (id === undefined) return
    this.running.set(id, true)
    this.write(id)
  }

  /** Stops a server and removes its entry. */
  stop (index: number): void {
    const id = this.pick(index)
    if (id === undefined) return
    this.running.delete(id)
    this.remove(id)
  }

  takeSnapshot (): void {
    this.snapshot = new Map(this.entries)
    this.snapshotRevision = this.revision
  }

  /** Restores the last snapshot, and has the instance list the store. */
  restore (): void {
    this.epoch++
    this.revision = this.snapshotRevision
    this.entries = new Map([...this.snapshot].map(([id, entry]) => [id, { ...entry, version: this.version }]))
    this.restoredAt = this.clock.readTime()
    this.directory.handleRestore(this.version)
    for (const [id, entry] of this.entries) this.notify(id, entry)
    this.directory.removeAllExcept(new Set(this.entries.keys()))
    this.clock.setTimer(EXPIRY_MS, () => this.expire())
  }

  /** Publishes the entries of all running servers, as each heartbeat does. */
  writeAll (): void {
    for (const id of this.running.keys()) this.write(id)
  }

  listUsed (): string[] {
    return this.fleet.listAll().filter(({ entry }) => !entry.draining).map(({ id }) => id).sort()
  }

  listHealthy (): string[] {
    return [...this.running].filter(([, draining]) => !draining).map(([id]) => id).sort()
  }

  private get version (): number {
    return buildVersion(this.epoch, this.revision)
  }

  private pick (index: number): string | undefined {
    const ids = [...this.running.keys()]
    return ids[index % Math.max(1, ids.length)]
  }

  private write (id: string): void {
    this.revision++
    const entry = { draining: this.running.get(id) ?? false, version: this.version }
    this.entries.set(id, entry)
    this.notify(id, entry)
  }

  private remove (id: string): void {
    this.revision++
    if (this.entries.delete(id)) this.directory.remove(id)
  }

  private expire (): void {
    for (const id of [...this.entries.keys()]) if (!this.running.has(id)) this.remove(id)
  }

  private notify (id: string, { draining, version }: Entry): void {
    if (draining) this.knownDraining.add(id)
    this.directory.put(createEntry(id, draining), version)
  }
}

function createEntry (id: string, draining: boolean): BackendEntry {
  return { id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 1, draining, models: undefined, inMemory: [], onDisk: [] }
}

describe('backend servers in a store that is restored from older snapshots', () => {
  const step = fc.oneof(
    fc.record({ kind: fc.constant('start' as const), name: fc.constantFrom(...SERVERS) }),
    fc.record({ kind: fc.constant('drain' as const), at: fc.nat(9) }),
    fc.record({ kind: fc.constant('stop' as const), at: fc.nat(9) }),
    fc.record({ kind: fc.constant('snapshot' as const) }),
    fc.record({ kind: fc.constant('restore' as const) }),
    fc.record({ kind: fc.constant('heartbeat' as const) }),
    fc.record({ kind: fc.constant('advance' as const), ms: fc.integer({ min: 1, max: 6_000 }) }),
  )

  // Guards against requests to draining servers, and against healthy servers that are never used again.
  it('are never used once they drain, and all healthy ones are used in the end', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const store = new RestorableStore()
      for (const it of steps) {
        if (it.kind === 'start') store.start(it.name)
        else if (it.kind === 'drain') store.drain(it.at)
        else if (it.kind === 'stop') store.stop(it.at)
        else if (it.kind === 'snapshot') store.takeSnapshot()
        else if (it.kind === 'restore') store.restore()
        else if (it.kind === 'heartbeat') store.writeAll()
        else await store.clock.advance(it.ms)
        assert.deepEqual(store.listUsed().filter((id) => store.knownDraining.has(id)), [])
      }
      await store.clock.advance(HEARTBEAT_MS)
      store.writeAll()
      await store.clock.advance(2 * EXPIRY_MS)
      assert.deepEqual(store.listUsed(), store.listHealthy())
    }), { numRuns: RUNS, seed: 59 })
  })
})
