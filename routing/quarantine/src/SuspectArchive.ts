import type { ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import type { ServerEnd, SuspectNews } from './Suspect.js'
import { Verdicts, type Verdict } from './SuspectRule.js'

const PREFIX = 'suspects/'
/** The store is asked again so often while it is away. */
const RETRY_MS = 1_000
/** Writes of one life at most; when a data hall is lost twice, hundreds have two ends, and the store has other work then. */
const MAX_WRITTEN = 256

export interface SuspectArchiveOptions {
  clock: Clock
  store: ObjectStore
  judge: (identity: string) => Verdict
  /** The ends that are known. */
  describe: (identity: string) => readonly ServerEnd[]
}

/**
 * Keeps requests with two ends or more in the store, so that instances that all died at once know them still. That takes two calls for each such request
 * and one for each life of an instance.
 */
export class SuspectArchive {
  /** How requests were judged when they were written, or read. */
  private readonly kept = new Map<string, Verdict | undefined>()
  private written = 0

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
    for (const { identity } of all) this.kept.set(identity, undefined)
    return all
  }

  /** Writes what is known of a request, as soon as the store answers; not again while it is judged the same. */
  async keep (identity: string, signal: AbortSignal): Promise<void> {
    const verdict = this.opts.judge(identity)
    if (this.kept.get(identity) === verdict || this.written >= MAX_WRITTEN) return
    this.written++
    await this.keepAgain(identity, signal)
  }

  /** Writes what is known of a request, whether or not that was done before, unless it need not be kept. */
  async keepAgain (identity: string, signal: AbortSignal): Promise<void> {
    const { clock, describe, judge } = this.opts
    this.kept.set(identity, judge(identity))
    while (!signal.aborted && mustKeep(judge(identity))) {
      const written = await this.write(identity, describe(identity))
      if (written) return
      await clock.wait(RETRY_MS, signal)
    }
    this.kept.delete(identity)
  }

  private async write (identity: string, ends: readonly ServerEnd[]): Promise<boolean> {
    const { store } = this.opts
    const key = PREFIX + identity
    const present = await store.readObject(key)
    if (present.isErr()) return false
    // Of two instances that write at once one is late, and knows as much as the other.
    const written = await store.writeObject(key, { ends }, present.value?.version ?? 0)
    return written.isOk()
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

/** Whether a request so judged is to be known also after all instances have ended at once. */
function mustKeep (verdict: Verdict): boolean {
  return verdict === Verdicts.ALONE || verdict === Verdicts.REFUSED
}
