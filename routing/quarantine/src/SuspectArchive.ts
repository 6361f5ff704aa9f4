import type { ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import type { ServerEnd, SuspectNews } from './Suspect.js'

const PREFIX = 'suspects/'
/** The store is asked again so often while it is away. */
const RETRY_MS = 1_000
/** News of other suspects at the same server come within this time; after them a request may turn out not to be proven. */
const SETTLE_MS = 500

export interface SuspectArchiveOptions {
  clock: Clock
  store: ObjectStore
  /** Whether the request is still refused. */
  isRefused: (identity: string) => boolean
}

/**
 * Keeps refused requests in the store, so that instances that all died at once refuse them still. That takes one call for each such request and one
 * for each life of an instance.
 */
export class SuspectArchive {
  private readonly kept = new Set<string>()

  constructor (private readonly opts: SuspectArchiveOptions) {}

  /** Reads what is kept, as soon as the store answers; gives nothing when the signal ends before. */
  async load (signal: AbortSignal): Promise<SuspectNews[]> {
    while (!signal.aborted) {
      const listing = await this.opts.store.listObjects(PREFIX)
      if (listing.isOk()) return this.readAll(listing.value.objects)
      await this.opts.clock.wait(RETRY_MS, signal)
    }
    return []
  }

  private readAll (objects: readonly StoredObject[]): SuspectNews[] {
    const all = objects.flatMap(({ key, value }) => readNews(key.slice(PREFIX.length), value) ?? [])
    for (const { identity } of all) this.kept.add(identity)
    return all
  }

  /** Writes a refused request, as soon as the store answers. */
  async keep (news: SuspectNews, signal: AbortSignal): Promise<void> {
    const { identity, ends } = news
    if (this.kept.has(identity)) return
    this.kept.add(identity)
    await this.opts.clock.wait(SETTLE_MS, signal)
    while (!signal.aborted && this.opts.isRefused(identity)) {
      const written = await this.opts.store.writeObject(PREFIX + identity, { ends }, 0)
      // Another instance has written it.
      if (written.isOk() || written.error.code === 'STORE_CONFLICT') return
      await this.opts.clock.wait(RETRY_MS, signal)
    }
    this.kept.delete(identity)
  }

  /** Takes a request out that has ended well after all. */
  async forget (identity: string): Promise<void> {
    if (!this.kept.delete(identity)) return
    const key = PREFIX + identity
    const present = await this.opts.store.readObject(key)
    if (present.isErr() || present.value === undefined) return
    // Where it fails the request is tried once more by instances that start later.
    await this.opts.store.deleteObject(key, present.value.version)
  }
}

/** The objects are the system's own, and yet another writer may have put one there. */
function readNews (identity: string, value: unknown): SuspectNews | undefined {
  const { ends } = (value ?? {}) as { ends?: unknown }
  if (!Array.isArray(ends)) return undefined
  return { identity, ends: ends.filter(isServerEnd), cleared: [] }
}

function isServerEnd (value: unknown): value is ServerEnd {
  const end = value as Partial<ServerEnd> | null
  return typeof end?.life === 'string' && typeof end.wasOnlyRun === 'boolean'
}
