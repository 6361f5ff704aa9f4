import type { ModelServing } from '@pulleystack/config.routes'
import { formatIncarnation, type BackendFleet, type LoadTally, type ServerIncarnation } from '@pulleystack/routing.fleet'
import type { ServerCapacity } from './LedgerState.js'
import { ServerLedger } from './ServerLedger.js'

/** A ledger without reservations is dropped after this time. */
const IDLE_MS = 10_000
/** A report arrives within this time after it was sent. */
const MAX_DELAY_MS = 1_000
const NO_LOADS: ReadonlyMap<string, LoadTally> = new Map()

export interface LedgerTableOptions {
  fleet: BackendFleet
  findServing: (service: string) => ModelServing | undefined
  hasTeamShares: boolean
  /** Whether this instance keeps the server's ledger, as far as it knows. */
  isOwner: (server: ServerIncarnation) => boolean
}

interface KeptLedger {
  server: ServerIncarnation
  ledger: ServerLedger
  usedAt: number
  /** When another instance became the owner; undefined while this one is. */
  lostAt: number | undefined
}

/** The ledgers kept by this instance, by server. Times are monotonic and in milliseconds. */
export class LedgerTable {
  private readonly ledgers = new Map<string, KeptLedger>()

  constructor (private readonly opts: LedgerTableOptions) {}

  get size (): number {
    return this.ledgers.size
  }

  find (server: ServerIncarnation): ServerLedger | undefined {
    return this.ledgers.get(formatIncarnation(server))?.ledger
  }

  /** Returns the ledger of a server, created if needed; undefined if neither the server nor models of the service are known. */
  put (server: ServerIncarnation, service: string, now: number): ServerLedger | undefined {
    const capacity = this.findCapacity(server, service, now)
    if (!capacity) return undefined
    const key = formatIncarnation(server)
    const known = this.ledgers.get(key) ?? this.createKept(server, capacity, now)
    known.ledger.capacity = capacity
    known.usedAt = now
    this.ledgers.set(key, known)
    return known.ledger
  }

  remove (server: ServerIncarnation): void {
    this.ledgers.delete(formatIncarnation(server))
  }

  removeInstance (instance: string): void {
    for (const { ledger } of this.ledgers.values()) ledger.removeInstance(instance)
  }

  /** Removes reports to which later ones may have gone to another owner. Instances may see a change of owner before this one does, and report here. */
  updateOwners (now: number): void {
    for (const kept of this.ledgers.values()) {
      const isOwner = this.opts.isOwner(kept.server)
      if (isOwner && kept.lostAt !== undefined) kept.ledger.removeReports(kept.lostAt + MAX_DELAY_MS)
      if (!isOwner && kept.lostAt === undefined) kept.ledger.removeReports(now)
      kept.lostAt = isOwner ? undefined : kept.lostAt ?? now
    }
  }

  /** Removes reservations whose deadline has passed, and idle ledgers. */
  expire (now: number): void {
    for (const [key, { ledger, usedAt }] of this.ledgers) {
      ledger.expire(now)
      if (ledger.isEmpty && now - usedAt >= IDLE_MS) this.ledgers.delete(key)
    }
  }

  /** A brittle server, or one without models, gets no more requests than it has slots. */
  private findCapacity ({ id }: ServerIncarnation, service: string, now: number): ServerCapacity | undefined {
    const { fleet, findServing } = this.opts
    const serving = findServing(service)
    const slots = fleet.find(id)?.entry.slots
    if (!serving) return slots === undefined ? undefined : { batchSlots: slots, cacheTokens: Infinity }
    if (slots === undefined || !fleet.brittle.hasCare(service, now)) return serving
    return { ...serving, batchSlots: Math.min(serving.batchSlots, slots) }
  }

  private createKept (server: ServerIncarnation, capacity: ServerCapacity, now: number): KeptLedger {
    return { server, ledger: this.createLedger(server, capacity), usedAt: now, lostAt: this.opts.isOwner(server) ? undefined : -Infinity }
  }

  private createLedger (server: ServerIncarnation, capacity: ServerCapacity): ServerLedger {
    const { fleet, hasTeamShares } = this.opts
    const readSharedLoads = (): ReadonlyMap<string, LoadTally> => {
      const backend = fleet.find(server.id)
      return backend && formatIncarnation(backend.entry) === formatIncarnation(server) ? backend.listPeerLoads() : NO_LOADS
    }
    return new ServerLedger(capacity, { readSharedLoads, hasTeamShares })
  }
}
