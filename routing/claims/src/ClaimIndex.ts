import type { ClaimDecision, ClaimEntry, ClaimRequest, ClaimState } from './ClaimEntry.js'

/** The claims of a claim log by key. */
export class ClaimIndex {
  private readonly claims = new Map<string, ClaimState>()

  get size (): number {
    return this.claims.size
  }

  apply (entry: ClaimEntry): void {
    const claim = this.claims.get(entry.key)
    if (entry.kind === 'claim') {
      if (!claim) this.claims.set(entry.key, { hash: entry.hash, request: entry.request, instance: entry.instance, at: entry.at })
      return
    }
    // A delayed entry of an earlier request must not change the current claim.
    if (claim?.request !== entry.request) return
    if (entry.kind === 'outcome') claim.outcome = entry.outcome
    else if (!claim.outcome) this.claims.delete(entry.key)
  }

  /** Decides a request from the recorded claims; undefined when the key is free. */
  decide (request: ClaimRequest): ClaimDecision | undefined {
    const claim = this.claims.get(request.key)
    if (!claim) return undefined
    if (claim.hash !== request.hash) return { kind: 'mismatch' }
    if (claim.request === request.request && !claim.outcome) return { kind: 'granted' }
    return { kind: 'repeat', instance: claim.instance, request: claim.request, outcome: claim.outcome }
  }

  /** Deletes claims made before a wall time in milliseconds; the map lists them in the order of claiming. */
  dropBefore (wallTime: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.at >= wallTime) return
      this.claims.delete(key)
    }
  }

  clear (): void {
    this.claims.clear()
  }
}
