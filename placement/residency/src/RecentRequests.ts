/** Number of recent values kept; enough for a stable quartile, and short enough to follow a change of demand. */
const MAX_VALUES = 24

interface EndedRequests {
  heldMs: number
  promptTokens: number
}

/**
 * Ratio of the mean to the lower quartile of the holding times on an uncongested server. The lengths of outputs scatter log-normally with a deviation
 * of about 0.75; a higher ratio is due to congestion.
 */
const MEAN_PER_QUARTILE = 2.2

/** What recently ended requests cost the servers. */
export class RecentRequests {
  private readonly recent: EndedRequests[] = []
  private next = 0
  private uncongestedMs: number | undefined

  /** Adds the mean holding time in milliseconds and the mean prompt tokens of the requests that ended in one report. */
  add (ended: EndedRequests): void {
    if (!(ended.heldMs > 0)) return
    this.recent[this.next] = ended
    this.next = (this.next + 1) % MAX_VALUES
    this.uncongestedMs = undefined
  }

  /** Mean holding time on an uncongested server: congestion raises the mean of all values, but hardly their lower quartile. Undefined without values. */
  get uncongestedHeldMs (): number | undefined {
    if (this.recent.length === 0) return undefined
    this.uncongestedMs ??= computeUncongestedMs(this.recent.map((it) => it.heldMs))
    return this.uncongestedMs
  }

  /** Mean prompt tokens that servers prefilled for one request; undefined without values. */
  get promptTokens (): number | undefined {
    if (this.recent.length === 0) return undefined
    return this.recent.reduce((sum, it) => sum + it.promptTokens, 0) / this.recent.length
  }
}

function computeUncongestedMs (heldMs: readonly number[]): number {
  const mean = heldMs.reduce((sum, ms) => sum + ms, 0) / heldMs.length
  const quartile = [...heldMs].sort((a, b) => a - b)[Math.floor((heldMs.length - 1) / 4)] as number
  return Math.min(mean, quartile * MEAN_PER_QUARTILE)
}
