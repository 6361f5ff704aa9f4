import { Subject, type Observable } from 'rxjs'

/** What was written this many milliseconds before a store came back is in its copy, which is some seconds old. */
export const LONGEST_LOSS_MS = 60_000

/** A store is in another epoch than this process knew. */
export interface EpochChange {
  epoch: number
  /** Newest epoch seen before; undefined at the first answer. Otherwise the store came back from an older copy and has lost what it had acknowledged since. */
  previous: number | undefined
}

/** The epochs of one store that a process has seen, in whatever answer came first. */
export class StoreEpochs {
  private readonly subject = new Subject<EpochChange>()
  private seen: number | undefined

  /** Newest epoch; undefined before the first answer. */
  get newest (): number | undefined {
    return this.seen
  }

  /** Tells of each newer epoch that is seen, and of the first one. */
  get changes (): Observable<EpochChange> {
    return this.subject
  }

  /** Takes the epoch of an answer or of a version; older ones change nothing. */
  record (epoch: number): void {
    const previous = this.seen
    if (previous !== undefined && epoch <= previous) return
    this.seen = epoch
    this.subject.next({ epoch, previous })
  }
}
