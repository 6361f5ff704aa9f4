import { PaceTable, isPossibleShared, type PaceSample, type SharedPace } from '@pulleystack/routing.pace'

/** Bounds a message to some 3 kB. */
const MAX_SHARED_PACES = 64

/** A pace sent to or received from other instances. */
export type BackendPace = [backend: string, ...pace: SharedPace]

interface PacedServer {
  id: string
  entry: { service: string }
}

/** Paces of the servers of all services, and which of them changed since they were last sent to the other instances. */
export class FleetPaces {
  private readonly tables = new Map<string, PaceTable>()
  private readonly changed = new Map<string, PacedServer>()

  find (service: string): PaceTable {
    const table = this.tables.get(service) ?? new PaceTable()
    this.tables.set(service, table)
    return table
  }

  /** Adds a sample; false if it is impossible. */
  record (server: PacedServer, sample: PaceSample, now: number): boolean {
    if (!this.find(server.entry.service).find(server.id).addSample(sample, now)) return false
    this.changed.set(server.id, server)
    return true
  }

  remove ({ id, entry }: PacedServer): void {
    this.tables.get(entry.service)?.remove(id)
    this.changed.delete(id)
  }

  /** Removes and returns changed paces, those changed first at the front; more than a message may carry remain for the next one. */
  takeChanged (now: number): BackendPace[] {
    const taken = [...this.changed.values()].slice(0, MAX_SHARED_PACES)
    return taken.flatMap((server): BackendPace[] => {
      this.changed.delete(server.id)
      const pace = this.find(server.entry.service).find(server.id).share(now)
      return pace ? [[server.id, ...pace]] : []
    })
  }

  /** Merges what a peer sent and returns the impossible values. Unknown servers are skipped: the peer may know of them earlier. */
  applyFromPeer (paces: unknown, findServer: (id: string) => PacedServer | undefined, now: number): unknown[] {
    if (!Array.isArray(paces)) return [paces]
    return paces.slice(0, MAX_SHARED_PACES).filter((item: unknown) => {
      const [id, ...pace]: unknown[] = Array.isArray(item) ? item : []
      if (typeof id !== 'string' || !isPossibleShared(pace)) return true
      const server = findServer(id)
      return server !== undefined && !this.find(server.entry.service).find(id).applyShared(pace, now)
    })
  }
}
