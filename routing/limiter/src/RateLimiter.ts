import { LRUCache } from 'lru-cache'

interface Bucket {
  tokens: number
  at: number
}

const BURST_SECONDS = 1
const MAX_BUCKETS = 50_000

/** Token buckets by name. A limit over all instances is split evenly among those that serve it. */
export class RateLimiter {
  private readonly buckets = new LRUCache<string, Bucket>({ max: MAX_BUCKETS })

  /** Takes one token; gives 0 when allowed, else the seconds until one will be there. */
  take (name: string, perSecond: number, instances: number, now: number): number {
    const rate = perSecond / Math.max(1, instances)
    const capacity = Math.max(1, rate * BURST_SECONDS)
    const bucket = this.buckets.get(name) ?? { tokens: capacity, at: now }
    const tokens = Math.min(capacity, bucket.tokens + (now - bucket.at) / 1000 * rate)
    const allowed = tokens >= 1
    this.buckets.set(name, { tokens: allowed ? tokens - 1 : tokens, at: now })
    if (allowed) return 0
    return rate > 0 ? (1 - tokens) / rate : 60
  }
}
