import { LRUCache } from 'lru-cache'
import { formatIncarnation, type ServerIncarnation } from './BackendEntry.js'
import { AdvertisedLimit } from './AdvertisedLimit.js'
import { PermitPool } from './PermitPool.js'
import { ServerBackoff } from './ServerBackoff.js'

/** Incarnations whose status is remembered, at about 200 bytes each. */
const MAX_INCARNATIONS = 4_096

/** Self-reported status of one incarnation of a server. It takes precedence over the server's entry, which lags during store outages. */
export class ReportedStatus {
  /** Whether it announced that it drains, to any instance. Draining is final: a restarted server is another incarnation. */
  isDraining = false
  /** Backoff requested from this instance only. */
  readonly backoff = new ServerBackoff()
  /** Limit on the requests of all instances together. */
  readonly limit = new AdvertisedLimit()
  /** Permits for requests while a limit is advertised. */
  readonly permits = new PermitPool()

  constructor (readonly incarnation: ServerIncarnation) {}
}

/** Status of servers by incarnation. It is kept while a server has no entry, since entries may expire and reappear during store outages. */
export class ReportedStatusCache {
  private readonly byIncarnation = new LRUCache<string, ReportedStatus>({ max: MAX_INCARNATIONS })

  /** Returns the known status of an incarnation, or an empty one. */
  find (incarnation: ServerIncarnation): ReportedStatus {
    return this.byIncarnation.get(formatIncarnation(incarnation)) ?? new ReportedStatus({ id: incarnation.id, startedAt: incarnation.startedAt })
  }

  put (status: ReportedStatus): void {
    this.byIncarnation.set(formatIncarnation(status.incarnation), status)
  }

  remove (incarnation: ServerIncarnation): void {
    this.byIncarnation.delete(formatIncarnation(incarnation))
  }

  /** Draining incarnations, newest first. */
  listDraining (limit: number): ServerIncarnation[] {
    return [...this.byIncarnation.values()].filter(({ isDraining }) => isDraining).slice(0, limit).map(({ incarnation }) => incarnation)
  }
}
