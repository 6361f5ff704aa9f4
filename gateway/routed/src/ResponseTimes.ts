import { LRUCache } from 'lru-cache'

/** Newest response times that are kept for each server and route. */
const MAX_SAMPLES = 32
/** With fewer, the times of all servers of the route count. */
const MIN_SAMPLES = 5
const SLOW_QUANTILE = 0.9
/** A response that takes this much longer than a slow one is overdue. */
const OVERDUE_FACTOR = 2
/** Bounds memory. */
const MAX_SERIES = 2_000

/** Learns how long servers take until they begin to respond, by route and server. Times are in milliseconds. */
export class ResponseTimes {
  private readonly series = new LRUCache<string, number[]>({ max: MAX_SERIES })

  record (route: string, server: string, ms: number): void {
    for (const key of [buildKey(route, server), route]) {
      const samples = this.series.get(key) ?? []
      samples.push(ms)
      if (samples.length > MAX_SAMPLES) samples.shift()
      this.series.set(key, samples)
    }
  }

  /** Time after which a response of the server is overdue; 0 while too little is known of it and of the route. */
  estimateOverdueMs (route: string, server: string): number {
    const own = this.series.get(buildKey(route, server)) ?? []
    const samples = own.length >= MIN_SAMPLES ? own : this.series.get(route) ?? []
    if (samples.length < MIN_SAMPLES) return 0
    const sorted = [...samples].sort((a, b) => a - b)
    return OVERDUE_FACTOR * (sorted[Math.floor(SLOW_QUANTILE * (sorted.length - 1))] as number)
  }
}

function buildKey (route: string, server: string): string {
  return `${route}\n${server}`
}
