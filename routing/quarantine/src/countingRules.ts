import type { Suspect } from './Suspect.js'
import { SuspectRule, Verdicts, type Verdict } from './SuspectRule.js'

/** Rejects a request after a number of crashes, whatever its other runs show; a baseline for comparisons. */
export class CrashCountRule extends SuspectRule {
  constructor (private readonly maxCrashes: number) {
    super()
  }

  override judge (suspect: Suspect): Verdict {
    return suspect.totalCrashes >= this.maxCrashes ? Verdicts.REJECTED : Verdicts.ALLOWED
  }
}

/** Rejects a request after a number of crashes without a successful run in between; a baseline for comparisons. */
export class UnclearedCrashCountRule extends SuspectRule {
  constructor (private readonly maxCrashes: number) {
    super()
  }

  override judge (suspect: Suspect): Verdict {
    return suspect.listUncleared().length >= this.maxCrashes ? Verdicts.REJECTED : Verdicts.ALLOWED
  }
}
