/** Measures the token rate that one instance is asked for, by item. */
export class DemandMeter {
  private tokensByItem = new Map<string, number>()
  private startedAt: number

  constructor (now: number) {
    this.startedAt = now
  }

  /** Adds the tokens of one request. */
  add (item: string, tokens: number): void {
    this.tokensByItem.set(item, (this.tokensByItem.get(item) ?? 0) + tokens)
  }

  /** Returns the tokens per second by item since the last call, and starts a new interval. */
  take (now: number): Record<string, number> {
    const seconds = Math.max(0.001, (now - this.startedAt) / 1000)
    const rates = Object.fromEntries([...this.tokensByItem].map(([item, count]) => [item, count / seconds]))
    this.tokensByItem = new Map()
    this.startedAt = now
    return rates
  }
}
