/** Enough for a stable median; more would only cost memory. */
const MAX_GAPS = 32

/** Times between the events of one stream, in milliseconds. */
export class EventGaps {
  private readonly gaps: number[] = []

  add (ms: number): void {
    if (this.gaps.length < MAX_GAPS) this.gaps.push(ms)
  }

  /** Median of the first gaps; 0 without any. */
  computeMedian (): number {
    const sorted = [...this.gaps].sort((a, b) => a - b)
    return sorted[Math.floor(sorted.length / 2)] ?? 0
  }
}
