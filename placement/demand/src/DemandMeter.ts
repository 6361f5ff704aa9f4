/** Counts what one instance was asked for, by item, between two readings. */
export class DemandMeter {
  private counts = new Map<string, number>()
  private since: number

  constructor (now: number) {
    this.since = now
  }

  /** Adds tokens that a request asks for. */
  add (item: string, tokens: number): void {
    this.counts.set(item, (this.counts.get(item) ?? 0) + tokens)
  }

  /** Tokens a second by item since the last reading. */
  take (now: number): Record<string, number> {
    const seconds = Math.max(0.001, (now - this.since) / 1000)
    const rates = Object.fromEntries([...this.counts].map(([item, count]) => [item, count / seconds]))
    this.counts = new Map()
    this.since = now
    return rates
  }
}
