import { Subject, type Observable } from 'rxjs'

/** A store came back from an older copy: what it had acknowledged since that copy is gone. */
export interface EpochChange {
  epoch: number
  /** Newest epoch that this process had seen before. */
  former: number
}

/** The epochs of one store that a process has seen, in whatever answer came first. */
export class StoreEpochs {
  private readonly subject = new Subject<EpochChange>()
  private seen: number | undefined

  /** Newest epoch; undefined before the first answer. */
  get newest (): number | undefined {
    return this.seen
  }

  /** Tells of each epoch after the first that is seen. */
  get changes (): Observable<EpochChange> {
    return this.subject
  }

  /** Takes the epoch of an answer or of a version; older ones change nothing. */
  note (epoch: number): void {
    const former = this.seen
    if (former !== undefined && epoch <= former) return
    this.seen = epoch
    if (former !== undefined) this.subject.next({ epoch, former })
  }
}
