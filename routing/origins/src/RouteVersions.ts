import { RETENTION_MS } from './retention.js'
import type { VersionHistory } from './VersionHistory.js'

/** Other instances hear of a version again within the retention time, and once for all instances. */
const RENEWAL_MS = RETENTION_MS / 4
/** A version for which no stream began for longer is not recorded again once its record has been removed. */
const MAX_UNUSED_MS = RETENTION_MS / 2

/** Versions of services that share a route: a version of one counts for all of them, as a stream may be taken up when its service has left the route. */
export class RouteVersions {
  private readonly versions = new Map<string, Set<string>>()

  constructor (private readonly history: VersionHistory) {}

  /** Records that a stream, which could have gone to these services, began at a version; returns the services for which that is news. */
  record (services: readonly string[], version: string): string[] {
    const news = services.filter((service) => this.measureAge(service, version) > RENEWAL_MS)
    for (const service of news) {
      this.findOrCreate(service).add(version)
      this.history.applyFromPeer({ service, version, msAgo: 0 })
    }
    return news
  }

  /** Versions at which streams began that could have gone to the service. */
  list (service: string): string[] {
    const versions = this.versions.get(service)
    for (const version of versions ?? []) if (this.measureAge(service, version) > MAX_UNUSED_MS) versions?.delete(version)
    if (versions?.size === 0) this.versions.delete(service)
    return [...versions ?? []]
  }

  /** Milliseconds since the version counted last; Infinity if it does not. */
  private measureAge (service: string, version: string): number {
    return this.history.list(service).find((known) => known.version === version)?.msAgo ?? Infinity
  }

  private findOrCreate (service: string): Set<string> {
    const versions = this.versions.get(service) ?? new Set<string>()
    this.versions.set(service, versions)
    return versions
  }
}
