import type { Clock } from '@pulleystack/core.clock'
import { readSoftwareVersion, type BackendFleet, type FleetChange } from '@pulleystack/routing.fleet'
import { Subject, type Observable } from 'rxjs'
import { RETENTION_MS } from './retention.js'
import { ServiceVersions } from './ServiceVersions.js'

/** Services without servers are dropped first beyond this number; those with servers are bounded by the fleet. */
const MAX_SERVICES = 1_024
/** A version seen again within this time after its last server went is no news. */
const NEWS_AFTER_MS = 10_000

/** A version of a service and when it was last seen. */
export interface VersionSighting {
  service: string
  version: string
  /** Milliseconds since then; 0 while a server has it. */
  msAgo: number
}

export interface VersionHistoryOptions {
  clock: Clock
  fleet: BackendFleet
}

/** Software versions of each service that served within the retention time. Draining servers count. */
export class VersionHistory {
  private readonly services = new Map<string, ServiceVersions>()
  /** What the entry of each server last named. */
  private readonly servers = new Map<string, { service: string, version: string }>()
  private readonly changeSubject = new Subject<string>()
  private readonly newsSubject = new Subject<string>()
  /** Until then, a service without record may have had versions that were dropped. */
  private mayLackUntil = -Infinity
  private readonly startedAt: number

  constructor (private readonly opts: VersionHistoryOptions) {
    this.startedAt = opts.clock.readTime()
    for (const backend of opts.fleet.listAll()) this.applyChange({ kind: 'added', backend })
    opts.fleet.changes.subscribe((change) => this.applyChange(change))
  }

  /** Milliseconds for which this instance has observed the versions of servers. */
  get observedMs (): number {
    return this.opts.clock.readTime() - this.startedAt
  }

  /** Emits services that became mixed, also those of which a peer told. */
  get changes (): Observable<string> {
    return this.changeSubject
  }

  /** Emits mixed services of which an entry or a peer names a version that had not been seen for some time. */
  get news (): Observable<string> {
    return this.newsSubject
  }

  /** Whether servers of several versions have served the services, such as those among which a route is split, within the retention time. */
  isMixed (...services: readonly string[]): boolean {
    const now = this.opts.clock.readTime()
    const isOneMixed = services.some((service) => this.services.get(service)?.isMixed(now) ?? now < this.mayLackUntil)
    return isOneMixed || this.collectVersions(services).size > 1
  }

  /** The only version of the services within the retention time; undefined if there are several or none. */
  findSole (...services: readonly string[]): string | undefined {
    return this.isMixed(...services) ? undefined : [...this.collectVersions(services)][0]
  }

  /** Versions of a service within the retention time. */
  list (service: string): VersionSighting[] {
    const versions = this.services.get(service)?.list(this.opts.clock.readTime()) ?? []
    return versions.map(([version, msAgo]) => ({ service, version, msAgo }))
  }

  /** Versions of all mixed services. */
  listMixed (): VersionSighting[] {
    return [...this.services.keys()].filter((service) => this.isMixed(service)).flatMap((service) => this.list(service))
  }

  /** Applies what a peer saw; versions without an entry here count as gone since then. */
  applyFromPeer ({ service, version, msAgo }: VersionSighting): void {
    if (msAgo >= RETENTION_MS) return
    this.noteVersion(service, (versions, now) => versions.applyFromPeer(version, now - msAgo, now))
  }

  private applyChange ({ kind, backend: { id, entry } }: FleetChange): void {
    const former = this.servers.get(id)
    const current = kind === 'removed' ? undefined : { service: entry.service, version: readSoftwareVersion(entry) }
    if (former && former.service === current?.service && former.version === current.version) return
    if (current) {
      this.servers.set(id, current)
      this.addServer(current.service, current.version)
    } else {
      this.servers.delete(id)
    }
    if (former) this.update(former.service, (versions, now) => versions.removeServer(former.version, now))
  }

  private addServer (service: string, version: string): void {
    this.noteVersion(service, (versions, now) => versions.addServer(version, now))
  }

  /** Applies a sighting of a version, for which `apply` returns how long ago the last one was. */
  private noteVersion (service: string, apply: (versions: ServiceVersions, now: number) => number): void {
    let msAgo = 0
    this.update(service, (versions, now) => {
      msAgo = apply(versions, now)
    })
    if (msAgo > NEWS_AFTER_MS && this.isMixed(service)) this.newsSubject.next(service)
  }

  private collectVersions (services: readonly string[]): Set<string> {
    return new Set(services.flatMap((service) => this.list(service).map(({ version }) => version)))
  }

  private update (service: string, change: (versions: ServiceVersions, now: number) => void): void {
    const wasMixed = this.isMixed(service)
    change(this.findOrCreate(service), this.opts.clock.readTime())
    if (!wasMixed && this.isMixed(service)) this.changeSubject.next(service)
  }

  private findOrCreate (service: string): ServiceVersions {
    const existing = this.services.get(service)
    if (existing) return existing
    if (this.services.size >= MAX_SERVICES) this.dropOldest()
    const created = new ServiceVersions(this.mayLackUntil)
    this.services.set(service, created)
    return created
  }

  /** Drops the service whose last server went first. */
  private dropOldest (): void {
    const gone = [...this.services].filter(([, versions]) => !versions.hasServers)
    const [oldest] = gone.sort(([, a], [, b]) => a.goneAt - b.goneAt)
    if (!oldest) return
    const [service, { goneAt }] = oldest
    this.services.delete(service)
    this.mayLackUntil = Math.max(this.mayLackUntil, goneAt + RETENTION_MS)
  }
}
