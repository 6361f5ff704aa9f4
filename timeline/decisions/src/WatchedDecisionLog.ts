import { Subject, type Observable } from 'rxjs'
import type { DecisionFacts } from './DecisionFacts.js'
import { DecisionLog, type DecisionKind } from './DecisionLog.js'

/** Passes all lines on to another log, and the facts of those that are watched to their subscribers, which must neither throw nor block. */
export class WatchedDecisionLog extends DecisionLog {
  private readonly factsByKind = new Map<DecisionKind, Subject<DecisionFacts[DecisionKind]>>()

  constructor (private readonly target: DecisionLog) {
    super()
  }

  record<Kind extends DecisionKind> (kind: Kind, facts: DecisionFacts[Kind]): void {
    this.target.record(kind, facts)
    this.factsByKind.get(kind)?.next(facts)
  }

  /** The facts of each line of a kind that is recorded from now on, whether or not its text is dropped. */
  watch<Kind extends DecisionKind> (kind: Kind): Observable<DecisionFacts[Kind]> {
    const known = this.factsByKind.get(kind) ?? new Subject<DecisionFacts[DecisionKind]>()
    this.factsByKind.set(kind, known)
    return known as unknown as Observable<DecisionFacts[Kind]>
  }
}
