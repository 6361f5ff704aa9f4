import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { ObjectStore, buildVersion, readEpoch, readRevision, type ChangeBatch, type StoreChange, type StoredObject, type StoreListing } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'

/** Faults to inject; fields may be changed at any time. */
export interface StoreFaults {
  down: boolean
  delayMs: number
  /** Number of next writes that take effect, but whose response is lost. */
  loseAnswers: number
  /** Number of next writes that have no effect, but fail with an unknown outcome. */
  loseWrites: number
  /** Time after which these fail. */
  timeoutMs: number
  /** Watches omit every `gapEvery`-th change; 0 for none. */
  gapEvery: number
  /** Reverses the order of the changes in a batch. */
  reorder: boolean
}

export interface StoreCounts {
  reads: number
  writes: number
  watches: number
  conflicts: number
  writtenBytes: number
}

/** A snapshot of the store. */
export interface StoreSnapshot {
  version: number
  objects: ReadonlyMap<string, { version: number, text: string }>
}

const MAX_LOG_CHANGES = 5_000

/** In-memory object API with versions, conditional writes, watches, compaction, restores from snapshots, and injected faults. */
export class MemoryObjectStore extends ObjectStore {
  readonly faults: StoreFaults = { down: false, delayMs: 0, loseAnswers: 0, loseWrites: 0, timeoutMs: 0, gapEvery: 0, reorder: false }
  readonly counts: StoreCounts = { reads: 0, writes: 0, watches: 0, conflicts: 0, writtenBytes: 0 }
  private readonly objects = new Map<string, { version: number, text: string }>()
  private readonly waiters = new Set<() => void>()
  private log: StoreChange[] = []
  private compactedThrough = 0
  private version = 0
  private emittedChanges = 0

  constructor (private readonly opts: { clock: Clock }) {
    super()
  }

  get currentVersion (): number {
    return this.version
  }

  async readObject (key: string): Promise<Result<StoredObject | undefined, PulleystackError>> {
    this.counts.reads++
    if (await this.isFailing()) return err(createUnavailableError())
    const stored = this.objects.get(key)
    return ok(stored && { key, version: stored.version, value: JSON.parse(stored.text) as unknown })
  }

  async listObjects (prefix: string): Promise<Result<StoreListing, PulleystackError>> {
    this.counts.reads++
    const version = this.version
    const objects: StoredObject[] = []
    for (const [key, stored] of this.objects) {
      if (key.startsWith(prefix)) objects.push({ key, version: stored.version, value: JSON.parse(stored.text) as unknown })
    }
    if (await this.isFailing()) return err(createUnavailableError())
    return ok({ objects, version })
  }

  async writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.changeObject(key, JSON.stringify(value), expectedVersion)
  }

  async deleteObject (key: string, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.changeObject(key, undefined, expectedVersion)
  }

  async waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    this.counts.watches++
    if (await this.isFailing()) return err(createUnavailableError())
    if (afterVersion < this.compactedThrough || afterVersion > this.version) return err(createCompactedError(afterVersion))
    if (this.listChanges(prefix, afterVersion).length === 0) await this.waitForWrite(prefix, afterVersion, waitMs, signal)
    if (this.faults.down) return err(createUnavailableError())
    if (readEpoch(afterVersion) < readEpoch(this.version)) return err(createCompactedError(afterVersion))
    const version = this.version
    return ok({ changes: this.applyWatchFaults(this.listChanges(prefix, afterVersion)), version })
  }

  /** Discards the log of changes, so that watches must list again. */
  compact (): void {
    this.log = []
    this.compactedThrough = this.version
  }

  /** Takes a snapshot for `restore`. */
  takeSnapshot (): StoreSnapshot {
    return { version: this.version, objects: new Map(this.objects) }
  }

  /** Restores an older snapshot in a new epoch. Later writes are lost, and revisions continue from the snapshot's. */
  restore (copy: StoreSnapshot): void {
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

  private async changeObject (key: string, text: string | undefined, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    this.counts.writes++
    if (await this.isFailing()) return err(createUnavailableError())
    if (takeFault(this.faults, 'loseWrites')) return this.waitForTimeout(key)
    const currentVersion = this.objects.get(key)?.version ?? 0
    if (currentVersion !== expectedVersion) {
      this.counts.conflicts++
      return err(new PulleystackError('STORE_CONFLICT', `${key} has version ${currentVersion}`))
    }
    this.applyChange(key, text)
    if (takeFault(this.faults, 'loseAnswers')) return this.waitForTimeout(key)
    return ok(this.version)
  }

  /** Resolves to an unknown outcome once the call would time out. */
  private async waitForTimeout (key: string): Promise<Result<number, PulleystackError>> {
    if (this.faults.timeoutMs > 0) await this.opts.clock.wait(this.faults.timeoutMs)
    return err(createUnknownOutcomeError(key))
  }

  private applyChange (key: string, text: string | undefined): void {
    this.version++
    if (text === undefined) this.objects.delete(key)
    else this.objects.set(key, { version: this.version, text })
    this.counts.writtenBytes += text?.length ?? 0
    this.log.push({ key, version: this.version, value: text === undefined ? undefined : JSON.parse(text) as unknown })
    if (this.log.length > MAX_LOG_CHANGES) this.compactedThrough = (this.log.shift() as StoreChange).version
    for (const wake of [...this.waiters]) wake()
  }

  private listChanges (prefix: string, afterVersion: number): StoreChange[] {
    return this.log.filter((change) => change.version > afterVersion && change.key.startsWith(prefix))
  }

  private applyWatchFaults (changes: StoreChange[]): StoreChange[] {
    const { gapEvery, reorder } = this.faults
    const emitted = gapEvery > 0 ? changes.filter(() => ++this.emittedChanges % gapEvery !== 0) : changes
    return reorder ? emitted.reverse() : emitted
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

function takeFault (faults: StoreFaults, name: 'loseAnswers' | 'loseWrites'): boolean {
  if (faults[name] <= 0) return false
  faults[name]--
  return true
}

function createUnavailableError (): PulleystackError {
  return new PulleystackError('STORE_UNAVAILABLE', 'The object API is down', { retryAfterSeconds: 1 })
}

function createCompactedError (afterVersion: number): PulleystackError {
  return new PulleystackError('STORE_COMPACTED', `Changes after version ${afterVersion} are no longer available`)
}

function createUnknownOutcomeError (key: string): PulleystackError {
  return new PulleystackError('STORE_OUTCOME_UNKNOWN', `It is unknown whether the write of ${key} took effect`)
}
