import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { ObjectStore, buildVersion, readEpoch, readRevision, type ChangeBatch, type StoreChange, type StoredObject, type StoreListing } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'

/** What goes wrong in the stand-in; fields may be changed at any time. */
export interface StoreFaults {
  down: boolean
  delayMs: number
  /** The next so many writes take effect, but their answer is lost. */
  loseAnswers: number
  /** The next so many writes are lost before they take effect, with an unknown outcome all the same. */
  loseWrites: number
  /** Watches leave out every so-manieth change; 0 for none. */
  gapEvery: number
  /** Reverses the order of changes in a batch. */
  reorder: boolean
}

export interface StoreCounts {
  reads: number
  writes: number
  watches: number
  conflicts: number
  writtenBytes: number
}

/** What the store holds at one moment. */
export interface MemoryCopy {
  version: number
  objects: ReadonlyMap<string, { version: number, text: string }>
}

const LOG_LENGTH = 5_000

/** The object API in memory: versions, conditional updates, watches, compaction, returns from an older copy and faults on demand. */
export class MemoryObjectStore extends ObjectStore {
  readonly faults: StoreFaults = { down: false, delayMs: 0, loseAnswers: 0, loseWrites: 0, gapEvery: 0, reorder: false }
  readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0, conflicts: 0, writtenBytes: 0 }
  private readonly objects = new Map<string, { version: number, text: string }>()
  private readonly waiters = new Set<() => void>()
  private log: StoreChange[] = []
  private compactedThrough = 0
  private version = 0
  private emitted = 0

  constructor (private readonly opts: { clock: Clock }) {
    super()
  }

  get currentVersion (): number {
    return this.version
  }

  async readObject (key: string): Promise<Result<StoredObject | undefined, PulleystackError>> {
    this.counts.reads++
    if (await this.isFailing()) return err(createUnavailable())
    const held = this.objects.get(key)
    return ok(held && { key, version: held.version, value: JSON.parse(held.text) as unknown })
  }

  async listObjects (prefix: string): Promise<Result<StoreListing, PulleystackError>> {
    this.counts.reads++
    const version = this.version
    const objects: StoredObject[] = []
    for (const [key, held] of this.objects) {
      if (key.startsWith(prefix)) objects.push({ key, version: held.version, value: JSON.parse(held.text) as unknown })
    }
    if (await this.isFailing()) return err(createUnavailable())
    return ok({ objects, version })
  }

  async writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.change(key, JSON.stringify(value), expectedVersion)
  }

  async deleteObject (key: string, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.change(key, undefined, expectedVersion)
  }

  async waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    this.counts.watches++
    if (await this.isFailing()) return err(createUnavailable())
    if (afterVersion < this.compactedThrough || afterVersion > this.version) return err(createCompacted(afterVersion))
    if (this.listChanges(prefix, afterVersion).length === 0) await this.waitForWrite(prefix, afterVersion, waitMs, signal)
    if (this.faults.down) return err(createUnavailable())
    if (readEpoch(afterVersion) < readEpoch(this.version)) return err(createCompacted(afterVersion))
    const version = this.version
    return ok({ changes: this.distort(this.listChanges(prefix, afterVersion)), version })
  }

  /** Forgets the log of changes, so that watches must list again. */
  compact (): void {
    this.log = []
    this.compactedThrough = this.version
  }

  /** The store as it is now, to be restored later. */
  takeCopy (): MemoryCopy {
    return { version: this.version, objects: new Map(this.objects) }
  }

  /** Comes back from an older copy, in another epoch: what was written since is gone, and revisions count on from the copy's. */
  restore (copy: MemoryCopy): void {
    const epoch = readEpoch(this.version) + 1
    this.version = buildVersion(epoch, readRevision(copy.version))
    this.objects.clear()
    for (const [key, { version, text }] of copy.objects) this.objects.set(key, { version: buildVersion(epoch, readRevision(version)), text })
    this.log = []
    this.compactedThrough = this.version
    this.epochs.record(epoch)
  }

  private async isFailing (): Promise<boolean> {
    if (this.faults.delayMs > 0) await this.opts.clock.wait(this.faults.delayMs)
    return this.faults.down
  }

  private async change (key: string, text: string | undefined, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    this.counts.writes++
    if (await this.isFailing()) return err(createUnavailable())
    if (takeOne(this.faults, 'loseWrites')) return err(createUnknown(key))
    const standing = this.objects.get(key)?.version ?? 0
    if (standing !== expectedVersion) {
      this.counts.conflicts++
      return err(new PulleystackError('STORE_CONFLICT', `${key} has version ${standing}`))
    }
    this.store(key, text)
    if (takeOne(this.faults, 'loseAnswers')) return err(createUnknown(key))
    return ok(this.version)
  }

  private store (key: string, text: string | undefined): void {
    this.version++
    if (text === undefined) this.objects.delete(key)
    else this.objects.set(key, { version: this.version, text })
    this.counts.writtenBytes += text?.length ?? 0
    this.log.push({ key, version: this.version, value: text === undefined ? undefined : JSON.parse(text) as unknown })
    if (this.log.length > LOG_LENGTH) this.compactedThrough = (this.log.shift() as StoreChange).version
    for (const wake of [...this.waiters]) wake()
  }

  private listChanges (prefix: string, afterVersion: number): StoreChange[] {
    return this.log.filter((change) => change.version > afterVersion && change.key.startsWith(prefix))
  }

  private distort (changes: StoreChange[]): StoreChange[] {
    const { gapEvery, reorder } = this.faults
    const kept = gapEvery > 0 ? changes.filter(() => ++this.emitted % gapEvery !== 0) : changes
    return reorder ? kept.reverse() : kept
  }

  private waitForWrite (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel()
        this.waiters.delete(check)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const check = (): void => {
        if (this.listChanges(prefix, afterVersion).length > 0) finish()
      }
      const cancel = this.opts.clock.setTimer(waitMs, finish)
      this.waiters.add(check)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

function takeOne (faults: StoreFaults, name: 'loseAnswers' | 'loseWrites'): boolean {
  if (faults[name] <= 0) return false
  faults[name]--
  return true
}

function createUnavailable (): PulleystackError {
  return new PulleystackError('STORE_UNAVAILABLE', 'The object API is down', { retryAfterSeconds: 1 })
}

function createCompacted (afterVersion: number): PulleystackError {
  return new PulleystackError('STORE_COMPACTED', `Changes after ${afterVersion} are gone`)
}

function createUnknown (key: string): PulleystackError {
  return new PulleystackError('STORE_OUTCOME_UNKNOWN', `Whether the write of ${key} took effect is not known`)
}
