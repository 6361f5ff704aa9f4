import type { ClaimDecision, ClaimEntry, ClaimRequest, HeldClaim } from './ClaimEntry.js'

/** What a claim log says, by key. */
export class ClaimIndex {
  private readonly claims = new Map<string, HeldClaim>()

  get size (): number {
    return this.claims.size
  }

  apply (entry: ClaimEntry): void {
    const held = this.claims.get(entry.key)
    if (entry.kind === 'claim') {
      if (!held) this.claims.set(entry.key, { hash: entry.hash, request: entry.request, instance: entry.instance, at: entry.at })
      return
    }
    // An entry of an earlier holder that comes late must not touch the present one.
    if (held?.request !== entry.request) return
    if (entry.kind === 'outcome') held.outcome = entry.outcome
    else if (!held.outcome) this.claims.delete(entry.key)
  }

  /** What a request for a key gets now; undefined when the key is free. */
  decide (request: ClaimRequest): ClaimDecision | undefined {
    const held = this.claims.get(request.key)
    if (!held) return undefined
    if (held.hash !== request.hash) return { kind: 'mismatch' }
    if (held.request === request.request && !held.outcome) return { kind: 'granted' }
    return { kind: 'repeat', instance: held.instance, request: held.request, outcome: held.outcome }
  }

  /** Forgets claims made before a wall time. Keys stand in the order of their claims. */
  dropBefore (wallTime: number): void {
    for (const [key, held] of this.claims) {
      if (held.at >= wallTime) return
      this.claims.delete(key)
    }
  }

  clear (): void {
    this.claims.clear()
  }
}
