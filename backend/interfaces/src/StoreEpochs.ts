import { Subject, type Observable } from 'rxjs'

/** A store that is restored from a snapshot contains all writes made longer than this before the restore. */
export const MAX_RESTORE_LOSS_MS = 60_000

/** A store has entered a newer epoch. */
export interface EpochChange {
  epoch: number
  /** Newest epoch seen before; undefined for the first one. If set, the store was restored from a snapshot and lost the writes acknowledged since. */
  previous: number | undefined
}

/** Tracks the epochs of a store that this process has seen. */
export class StoreEpochs {
  private readonly subject = new Subject<EpochChange>()
  private newestSeen: number | undefined

  /** Newest epoch; undefined before the first response. */
  get newest (): number | undefined {
    return this.newestSeen
  }

  /** Emits the first epoch and each newer one. */
  get changes (): Observable<EpochChange> {
    return this.subject
  }

  /** Records the epoch of a response or a version. Older epochs are ignored. */
  record (epoch: number): void {
    const previous = this.newestSeen
    if (previous !== undefined && epoch <= previous) return
    this.newestSeen = epoch
    this.subject.next({ epoch, previous })
  }
}
