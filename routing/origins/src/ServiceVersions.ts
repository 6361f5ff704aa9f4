import { RETENTION_MS } from './retention.js'

const MAX_VERSIONS = 16

interface KnownVersion {
  /** Servers with an entry that names the version. */
  servers: number
  /** Monotonic time in milliseconds at which the last of them went. */
  goneAt: number
}

/** Software versions of the servers of one service. All times are monotonic and in milliseconds. */
export class ServiceVersions {
  private readonly versions = new Map<string, KnownVersion>()

  /** Until `assumedMixedUntil` the service counts as mixed, as records of its versions may have been dropped. */
  constructor (private readonly assumedMixedUntil: number) {}

  get hasServers (): boolean {
    return [...this.versions.values()].some(({ servers }) => servers > 0)
  }

  /** When the last version of a service without servers went. */
  get goneAt (): number {
    return Math.max(...[...this.versions.values()].map(({ goneAt }) => goneAt))
  }

  isMixed (now: number): boolean {
    return now < this.assumedMixedUntil || this.list(now).length > 1
  }

  /** Versions that count, with the time since each was last seen. */
  list (now: number): [version: string, msAgo: number][] {
    const ages = [...this.versions].map(([version, known]): [string, number] => [version, measureAge(known, now)])
    return ages.filter(([, msAgo]) => msAgo < RETENTION_MS)
  }

  /** Adds a server of the version; returns the time since the version was last seen, Infinity if it never was. */
  addServer (version: string, now: number): number {
    const known = this.versions.get(version) ?? { servers: 0, goneAt: -Infinity }
    const msAgo = measureAge(known, now)
    known.servers++
    this.versions.set(version, known)
    this.dropExcess()
    return msAgo
  }

  removeServer (version: string, now: number): void {
    const known = this.versions.get(version)
    if (!known) return
    known.servers--
    known.goneAt = now
    this.dropExcess()
  }

  /** Records that a peer saw the version at a time; returns the time since the version was last seen before, Infinity if it never was. */
  applyFromPeer (version: string, seenAt: number, now: number): number {
    const known = this.versions.get(version)
    const msAgo = known ? measureAge(known, now) : Infinity
    if (known) known.goneAt = Math.max(known.goneAt, seenAt)
    else this.versions.set(version, { servers: 0, goneAt: seenAt })
    this.dropExcess()
    return msAgo
  }

  /** Drops gone versions, the oldest first. Those that are left count for longer, so that the service stays mixed for as long. */
  private dropExcess (): void {
    while (this.versions.size > MAX_VERSIONS) {
      const gone = [...this.versions].filter(([, { servers }]) => servers === 0).sort(([, a], [, b]) => a.goneAt - b.goneAt)
      const [oldest] = gone
      if (!oldest) return
      this.versions.delete(oldest[0])
    }
  }
}

function measureAge ({ servers, goneAt }: KnownVersion, now: number): number {
  return servers > 0 ? 0 : now - goneAt
}
