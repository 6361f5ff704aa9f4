import { listAllTraits, type RequestTraits } from './RequestTraits.js'
import { SuspectRule, Verdicts, type CrashEvidence, type Verdict } from './SuspectRule.js'

/** Rejects a request after a number of crashes during it, whatever it shares with others; a baseline for comparisons. */
export class RequestCountRule extends SuspectRule {
  constructor (private readonly maxCrashes: number) {
    super()
  }

  override judge ({ identity }: RequestTraits, evidence: CrashEvidence): Verdict {
    return evidence.listCrashes(identity).length >= this.maxCrashes ? Verdicts.REJECTED : Verdicts.ALLOWED
  }
}

/** Rejects a request with a trait of which a number of servers crashed since a server last began to write a response on it; a baseline for comparisons. */
export class TraitCountRule extends SuspectRule {
  constructor (private readonly maxServers: number) {
    super()
  }

  override judge (request: RequestTraits, evidence: CrashEvidence): Verdict {
    const countServers = (trait: string): number => new Set(evidence.listCrashes(trait).map(({ life }) => life)).size
    return listAllTraits(request).some((trait) => countServers(trait) >= this.maxServers) ? Verdicts.REJECTED : Verdicts.ALLOWED
  }
}

/** Applies a rule to whole requests only, as if they shared nothing; a baseline for comparisons. */
export class WholeRequestRule extends SuspectRule {
  constructor (private readonly rule: SuspectRule) {
    super()
  }

  override judge ({ identity }: RequestTraits, evidence: CrashEvidence): Verdict {
    return this.rule.judge({ identity, shared: [] }, evidence)
  }
}
