import type { PaceEstimate } from '@pulleystack/routing.pace'

/** Prompt tokens per millisecond of a service whose servers have not been measured. */
const DEFAULT_TOKENS_PER_MS = 30
/** A slow period lasts under a second, so a plan for many seconds uses the long-term pace, which is at least twice as high. */
const LONG_TERM_RATIO = 2
/** Share of the median pace below which a server counts as slow. */
const SLOW_SHARE = 0.8

/** Long-term paces of the servers of a service during one plan, in prompt tokens per millisecond. */
export class ServerPaces {
  private readonly paces = new Map<string, number>()
  /** Median over the measured servers. */
  readonly median: number

  constructor (servers: readonly { id: string }[], readPace: (server: string) => PaceEstimate | undefined) {
    for (const { id } of servers) {
      const estimate = readPace(id)
      if (estimate && estimate.tokensPerMs > 0) this.paces.set(id, estimate.tokensPerMs * (estimate.isSlowNow ? LONG_TERM_RATIO : 1))
    }
    const sorted = [...this.paces.values()].sort((a, b) => a - b)
    this.median = sorted[Math.floor(sorted.length / 2)] ?? DEFAULT_TOKENS_PER_MS
  }

  /** Pace of a server; a server that has not been measured counts as the median. */
  read (server: string): number {
    return this.paces.get(server) ?? this.median
  }

  isSlow (server: string): boolean {
    return this.read(server) < this.median * SLOW_SHARE
  }
}
