/**
 * Start-time fair queueing between partners: the partner with the fewest grants for its weight goes first. An idle
 * partner rejoins at the current virtual time, so idle time neither earns nor costs credit.
 */
export class FairShare {
  private readonly startTags = new Map<string, number>()
  private virtualTime = 0

  constructor (private readonly getWeight: (partner: string) => number) {}

  /** Must be called when a partner has a request again after having none waiting. */
  activate (partner: string): void {
    this.startTags.set(partner, Math.max(this.startTags.get(partner) ?? 0, this.virtualTime))
  }

  /** Charges one grant to a partner. */
  charge (partner: string): void {
    const startTag = this.startTags.get(partner) ?? this.virtualTime
    this.virtualTime = Math.max(this.virtualTime, startTag)
    this.startTags.set(partner, startTag + 1 / Math.max(this.getWeight(partner), 1e-6))
  }

  compare (a: string, b: string): number {
    return (this.startTags.get(a) ?? this.virtualTime) - (this.startTags.get(b) ?? this.virtualTime)
  }
}
