/**
 * Weighted fair order between partners by start tags: who has had least for its weight goes first. A partner that
 * was idle starts level with the one served last, so that idleness saves up no credit and costs none.
 */
export class FairShare {
  private readonly tags = new Map<string, number>()
  private level = 0

  constructor (private readonly getWeight: (partner: string) => number) {}

  /** A partner begins to wait after it had nothing waiting. */
  activate (partner: string): void {
    this.tags.set(partner, Math.max(this.tags.get(partner) ?? 0, this.level))
  }

  /** Counts one grant. */
  charge (partner: string): void {
    const start = this.tags.get(partner) ?? this.level
    this.level = Math.max(this.level, start)
    this.tags.set(partner, start + 1 / Math.max(this.getWeight(partner), 1e-6))
  }

  compare (a: string, b: string): number {
    return (this.tags.get(a) ?? this.level) - (this.tags.get(b) ?? this.level)
  }
}
