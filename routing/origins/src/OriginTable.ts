import type { Clock } from '@pulleystack/core.clock'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { LRUCache } from 'lru-cache'
import { RETENTION_MS } from './retention.js'
import { isSameOrigin } from './StreamOrigin.js'

/** About 200 bytes each. */
const MAX_RECORDS = 100_000

interface OriginRecord {
  origin: StreamOrigin
  /** Whether this instance passed on the stream's first event. */
  isOwn: boolean
  /** Monotonic time in milliseconds at which it was last recorded or used. */
  usedAt: number
}

/** Origins of streams by request id, bounded in number and age. */
export class OriginTable {
  /** Monotonic time in milliseconds at which a record was last dropped for want of room. */
  private lastDropAt = -Infinity
  // Age is kept here: the cache reads the machine's clock and takes a time of 0 for none.
  private readonly records: LRUCache<string, OriginRecord>

  constructor (private readonly clock: Clock, maxRecords = MAX_RECORDS) {
    // `maxSize` instead of `max`: with `max` the cache preallocates its full capacity, which holds up the start of the process.
    this.records = new LRUCache({ maxSize: maxRecords, sizeCalculation: () => 1, dispose: (_, __, reason) => this.noteDropped(reason) })
  }

  /** Whether records were dropped for want of room within the retention time. */
  get mayLackRecords (): boolean {
    return this.clock.readTime() - this.lastDropAt < RETENTION_MS
  }

  /** Number of records kept. */
  count (): number {
    this.dropExpired()
    return this.records.size
  }

  find (id: string): StreamOrigin | undefined {
    this.dropExpired()
    return this.records.peek(id)?.origin
  }

  /** Records an origin unless another one is known, and restarts its time; returns the one that is kept. */
  record (id: string, origin: StreamOrigin, isOwn: boolean): StreamOrigin {
    this.dropExpired()
    const known = this.records.peek(id)
    if (known && !isSameOrigin(known.origin, origin)) return known.origin
    this.records.set(id, { origin, isOwn: isOwn || known?.isOwn === true, usedAt: this.clock.readTime() })
    return origin
  }

  /** Records of a service's streams that this instance began, newest first. */
  listOwn (service: string): [id: string, origin: StreamOrigin][] {
    this.dropExpired()
    const own = [...this.records.entries()].filter(([, { origin, isOwn }]) => isOwn && origin.service === service)
    return own.map(([id, { origin }]) => [id, origin])
  }

  private noteDropped (reason: LRUCache.DisposeReason): void {
    if (reason === 'evict') this.lastDropAt = this.clock.readTime()
  }

  private dropExpired (): void {
    const oldestUse = this.clock.readTime() - RETENTION_MS
    for (let id = this.readOldest(); id !== undefined; id = this.readOldest()) {
      if ((this.records.peek(id)?.usedAt ?? -Infinity) > oldestUse) return
      this.records.delete(id)
    }
  }

  private readOldest (): string | undefined {
    const oldest = this.records.rkeys().next()
    return oldest.done ? undefined : oldest.value
  }
}
