import type { Clock } from '@pulleystack/core.clock'
import type { BackendEntry } from './BackendEntry.js'
import type { BackendFleet } from './BackendFleet.js'

/** Servers whose entries ran out while the store was away have written themselves again by then. */
const LAPSE_MS = 2_500

export interface BackendDirectoryOptions {
  clock: Clock
  fleet: BackendFleet
  /** Milliseconds since the store came back; 0 while it is away. */
  readSettledMs: () => number
}

/**
 * Takes what the store says of backend servers into the fleet. An entry that is missing soon after the store was away may only
 * have run out: its server stays until it has had time to write itself again. One that said that it leaves goes at once.
 */
export class BackendDirectory {
  /** How to call off the removal of servers that are missing. */
  private readonly missing = new Map<string, () => void>()

  constructor (private readonly opts: BackendDirectoryOptions) {}

  /** Takes one new or changed entry. */
  put (entry: BackendEntry): void {
    this.missing.get(entry.id)?.()
    this.missing.delete(entry.id)
    this.opts.fleet.put(entry)
  }

  /** The store has an entry of this name that can't be read: it names no server to use. */
  drop (id: string): void {
    this.missing.get(id)?.()
    this.missing.delete(id)
    this.opts.fleet.remove(id)
  }

  /** The store has the entries of these servers and no others. */
  keepOnly (listed: ReadonlySet<string>): void {
    for (const { id } of this.opts.fleet.listAll()) {
      if (!listed.has(id)) this.remove(id)
    }
  }

  /** The store has no entry of this server any more. */
  remove (id: string): void {
    if (this.missing.has(id)) return
    const { clock, fleet, readSettledMs } = this.opts
    const waitMs = LAPSE_MS - readSettledMs()
    if (waitMs <= 0 || fleet.find(id)?.entry.draining) {
      fleet.remove(id)
      return
    }
    this.missing.set(id, clock.setTimer(waitMs, () => {
      this.missing.delete(id)
      fleet.remove(id)
    }))
  }
}
