import { computeWeightedMedian } from './computeWeightedMedian.js'
import { DEFAULT_PACE, type PaceEstimate } from './PaceEstimate.js'
import { ServerPace } from './ServerPace.js'

/** The median over all servers changes little in this time, in milliseconds. */
const TYPICAL_LIFETIME_MS = 500

/** Pace of all servers of a service. */
export class PaceTable {
  private readonly servers = new Map<string, ServerPace>()
  private typical: { at: number, estimate: PaceEstimate } | undefined

  /** Returns the pace of a server, which is kept until the server is removed. */
  find (server: string): ServerPace {
    const pace = this.servers.get(server) ?? new ServerPace()
    this.servers.set(server, pace)
    return pace
  }

  remove (server: string): void {
    this.servers.delete(server)
  }

  /** Estimates a server; the fewer recent samples it has, the more it is taken to be like the median of the others. */
  read (server: string, now: number): PaceEstimate {
    const typical = this.readTypical(now)
    return this.servers.get(server)?.read(now, typical, true) ?? typical
  }

  /** Whether a server answered any stream within the last `ms`, as far as is known here. */
  hasRecentSample (server: string, ms: number, now: number): boolean {
    return now - (this.servers.get(server)?.newestAt ?? -Infinity) <= ms
  }

  private readTypical (now: number): PaceEstimate {
    if (this.typical && now - this.typical.at < TYPICAL_LIFETIME_MS) return this.typical.estimate
    const lasting = [...this.servers.values()].map((pace) => pace.readLasting(now))
    const estimate = {
      ...DEFAULT_PACE,
      tokensPerMs: computeMedian(lasting.map(({ tokensPerMs }) => tokensPerMs)) ?? DEFAULT_PACE.tokensPerMs,
      eventMs: computeMedian(lasting.map(({ eventMs }) => eventMs)) ?? DEFAULT_PACE.eventMs,
    }
    this.typical = { at: now, estimate }
    return estimate
  }
}

function computeMedian (values: readonly (number | undefined)[]): number | undefined {
  return computeWeightedMedian(values.filter((value) => value !== undefined).map((value) => ({ value, weight: 1 })))
}
