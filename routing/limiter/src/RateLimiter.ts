import { LRUCache } from 'lru-cache'

interface Bucket {
  tokens: number
  updatedAt: number
}

const BURST_SECONDS = 1
const MAX_BUCKETS = 50_000

/** Token buckets by key. A limit for the whole deployment is split evenly among the instances that serve the key. */
export class RateLimiter {
  private readonly buckets = new LRUCache<string, Bucket>({ max: MAX_BUCKETS })

  /** Takes one token. Returns 0 if allowed, otherwise the seconds until a token is available (60 if the rate is zero). */
  take (key: string, perSecond: number, instanceCount: number, now: number): number {
    const ratePerInstance = perSecond / Math.max(1, instanceCount)
    const capacity = Math.max(1, ratePerInstance * BURST_SECONDS)
    const bucket = this.buckets.get(key) ?? { tokens: capacity, updatedAt: now }
    const tokens = Math.min(capacity, bucket.tokens + (now - bucket.updatedAt) / 1000 * ratePerInstance)
    const isAllowed = tokens >= 1
    this.buckets.set(key, { tokens: isAllowed ? tokens - 1 : tokens, updatedAt: now })
    if (isAllowed) return 0
    return ratePerInstance > 0 ? (1 - tokens) / ratePerInstance : 60
  }
}
