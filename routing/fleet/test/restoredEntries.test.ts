import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { buildVersion } from '@pulleystack/backend.interfaces'
import { ManualClock } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { BackendDirectory, BackendFleet, type BackendEntry } from '../src/index.js'

const SERVERS = ['a', 'b', 'c', 'd']
/** Entries run out after three heartbeats of silence. */
const EXPIRY_MS = 3_600
const BEAT_MS = 1_200
/** By hand PULLEYSTACK_EXPLORE=1 plays many more. */
const RUNS = process.env['PULLEYSTACK_EXPLORE'] === undefined ? 300 : 50_000

interface Entry {
  draining: boolean
  version: number
}

/** A store of entries that comes back from older copies, with an instance that lists it and hears of each change. */
class RestoredStore {
  readonly clock = new ManualClock()
  readonly fleet = new BackendFleet()
  /** What each server that lives says of itself; a server never takes its leaving back. */
  readonly alive = new Map<string, boolean>()
  /** Servers that the instance was told of that they leave. */
  readonly toldLeaving = new Set<string>()
  private readonly directory: BackendDirectory
  private entries = new Map<string, Entry>()
  private copy = new Map<string, Entry>()
  private epoch = 0
  private revision = 0
  private copyRevision = 0
  private settledAt = -Infinity
  private life = 0

  constructor () {
    const { clock, fleet } = this
    this.directory = new BackendDirectory({ clock, fleet, readSettledMs: () => clock.readTime() - this.settledAt })
  }

  /** A new life, which has an id of its own. */
  join (name: string): void {
    const id = `${name}${this.life++}`
    this.alive.set(id, false)
    this.write(id)
  }

  announceLeaving (at: number): void {
    const id = this.pick(at)
    if (id === undefined) return
    this.alive.set(id, true)
    this.write(id)
  }

  /** A server ends, and its entry goes. */
  end (at: number): void {
    const id = this.pick(at)
    if (id === undefined) return
    this.alive.delete(id)
    this.remove(id)
  }

  takeCopy (): void {
    this.copy = new Map(this.entries)
    this.copyRevision = this.revision
  }

  /** The store comes back, and the instance lists it. */
  restore (): void {
    this.epoch++
    this.revision = this.copyRevision
    this.entries = new Map([...this.copy].map(([id, entry]) => [id, { ...entry, version: this.version }]))
    this.settledAt = this.clock.readTime()
    this.directory.noteRestored(this.version)
    for (const [id, entry] of this.entries) this.tell(id, entry)
    this.directory.keepOnly(new Set(this.entries.keys()))
    this.clock.setTimer(EXPIRY_MS, () => this.expire())
  }

  /** All servers that live write their entries, as they do with each heartbeat. */
  writeAll (): void {
    for (const id of this.alive.keys()) this.write(id)
  }

  listUsed (): string[] {
    return this.fleet.listAll().filter(({ entry }) => !entry.draining).map(({ id }) => id).sort()
  }

  listSound (): string[] {
    return [...this.alive].filter(([, draining]) => !draining).map(([id]) => id).sort()
  }

  private get version (): number {
    return buildVersion(this.epoch, this.revision)
  }

  private pick (at: number): string | undefined {
    const ids = [...this.alive.keys()]
    return ids[at % Math.max(1, ids.length)]
  }

  private write (id: string): void {
    this.revision++
    const entry = { draining: this.alive.get(id) ?? false, version: this.version }
    this.entries.set(id, entry)
    this.tell(id, entry)
  }

  private remove (id: string): void {
    this.revision++
    if (this.entries.delete(id)) this.directory.remove(id)
  }

  private expire (): void {
    for (const id of [...this.entries.keys()]) if (!this.alive.has(id)) this.remove(id)
  }

  private tell (id: string, { draining, version }: Entry): void {
    if (draining) this.toldLeaving.add(id)
    this.directory.put(createEntry(id, draining), version)
  }
}

function createEntry (id: string, draining: boolean): BackendEntry {
  return { id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 1, draining, models: undefined, inMemory: [], onDisk: [] }
}

describe('backend servers in a store that comes back from older copies', () => {
  const step = fc.oneof(
    fc.record({ kind: fc.constant('join' as const), name: fc.constantFrom(...SERVERS) }),
    fc.record({ kind: fc.constant('leave' as const), at: fc.nat(9) }),
    fc.record({ kind: fc.constant('end' as const), at: fc.nat(9) }),
    fc.record({ kind: fc.constant('copy' as const) }),
    fc.record({ kind: fc.constant('restore' as const) }),
    fc.record({ kind: fc.constant('beat' as const) }),
    fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 6_000 }) }),
  )

  // Guards against requests to servers that had said that they leave, and against sound ones that are not used again.
  it('are never used once they said that they leave, and all that are sound are used in the end', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const store = new RestoredStore()
      for (const it of steps) {
        if (it.kind === 'join') store.join(it.name)
        else if (it.kind === 'leave') store.announceLeaving(it.at)
        else if (it.kind === 'end') store.end(it.at)
        else if (it.kind === 'copy') store.takeCopy()
        else if (it.kind === 'restore') store.restore()
        else if (it.kind === 'beat') store.writeAll()
        else await store.clock.advance(it.ms)
        assert.deepEqual(store.listUsed().filter((id) => store.toldLeaving.has(id)), [])
      }
      await store.clock.advance(BEAT_MS)
      store.writeAll()
      await store.clock.advance(2 * EXPIRY_MS)
      assert.deepEqual(store.listUsed(), store.listSound())
    }), { numRuns: RUNS, seed: 59 })
  })
})
