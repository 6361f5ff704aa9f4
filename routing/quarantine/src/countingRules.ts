import type { Suspect } from './Suspect.js'
import { SuspectRule, Verdicts, type Verdict } from './SuspectRule.js'

/** Refuses a request after so many ends, whatever else is known of it; compared with the rule in use. */
export class CountedEndsRule extends SuspectRule {
  constructor (private readonly mostEnds: number) {
    super()
  }

  override judge (suspect: Suspect): Verdict {
    return suspect.totalEnds >= this.mostEnds ? Verdicts.REFUSED : Verdicts.FREE
  }
}

/** Refuses a request after so many ends without a good one between them; compared with the rule in use. */
export class WeighedEndsRule extends SuspectRule {
  constructor (private readonly mostEnds: number) {
    super()
  }

  override judge (suspect: Suspect): Verdict {
    return suspect.listOpen().length >= this.mostEnds ? Verdicts.REFUSED : Verdicts.FREE
  }
}
