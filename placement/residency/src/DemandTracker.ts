import type { Clock } from '@pulleystack/core.clock'
import { PREFILL_TOKENS_PER_MS } from '@pulleystack/routing.fleet'

/** What one instance saw of one model, with or without an adapter, since it last told. */
export interface DemandCount {
  service: string
  model: string
  adapter: string | undefined
  /** New requests. */
  requests: number
  /** Requests that left their place at a server, and the milliseconds for which they held it, all together. */
  ended: number
  heldMs: number
  /** Prompt tokens that their servers had to read for them. */
  readTokens: number
  /** Requests that have a place at a server or wait for one, now. */
  inHand: number
}

/** One count for each model, with all its adapters in it. */
export function sumByModel (counts: readonly DemandCount[]): DemandCount[] {
  const sums = new Map<string, DemandCount>()
  for (const count of counts) {
    const key = `${count.service}|${count.model}`
    const sum = sums.get(key) ?? { ...count, adapter: undefined, requests: 0, ended: 0, heldMs: 0, readTokens: 0, inHand: 0 }
    sum.requests += count.requests
    sum.ended += count.ended
    sum.heldMs += count.heldMs
    sum.readTokens += count.readTokens
    sum.inHand += count.inHand
    sums.set(key, sum)
  }
  return [...sums.values()]
}

/** How much a model is asked for. */
export interface ModelDemand {
  requestsPerSecond: number
  /** Places at servers that the requests hold at a time, or would if there were enough. */
  places: number
  /** Milliseconds a second that a server would spend reading their prompts. */
  readingMs: number
  /** Milliseconds for which one request holds a place at a server. */
  heldMs: number
  /** Milliseconds since it was last asked for; infinite when it never was. */
  idleMs: number
}

/** Old demand fades with this half-life: longer than the gaps between clumps of requests, shorter than demand stays with one model. */
const SLOW_HALF_LIFE_MS = 4_000
/** A rise shows in this one first, soon enough for a load to be of use. */
const FAST_HALF_LIFE_MS = 1_000
/** How long a request holds its place, before any has ended; what streams of some hundred tokens take. */
const FIRST_HELD_MS = 1_500
/** Weight of the newest ended request in the mean; a slow server shows within about ten. */
const HELD_WEIGHT = 0.1
/** What an instance has in hand is told about every 300 ms; a figure older than three of those belongs to one that is gone. */
const IN_HAND_KEPT_MS = 1_000

interface Tracked {
  /** Requests, faded. */
  slow: number
  fast: number
  updatedAt: number
  lastAskedAt: number
  heldMs: number | undefined
  /** Prompt tokens that a server reads for one request. */
  readTokens: number
  /** What each instance has in hand, and when it said so. */
  inHand: Map<string, { count: number, at: number }>
}

/** The demand for each model and adapter of one service over all instances; old demand fades. */
export class DemandTracker {
  private readonly tracked = new Map<string, Tracked>()
  /** Monotone time at which somebody last asked for it to be loaded. */
  private readonly waitedAt = new Map<string, number>()
  private heldMs = FIRST_HELD_MS

  constructor (private readonly clock: Clock, private readonly followsTrend = true) {}

  /** Takes what one instance counted over the last `spanMs`. */
  add (name: string, from: string, count: Pick<DemandCount, 'requests' | 'ended' | 'heldMs' | 'readTokens' | 'inHand'>, spanMs: number): void {
    const now = this.clock.readTime()
    const held = this.tracked.get(name) ?? { slow: 0, fast: 0, updatedAt: now, lastAskedAt: -Infinity, heldMs: undefined, readTokens: 0, inHand: new Map() }
    held.slow = fade(held.slow, now - held.updatedAt, SLOW_HALF_LIFE_MS) + fadeOver(count.requests, spanMs, SLOW_HALF_LIFE_MS)
    held.fast = fade(held.fast, now - held.updatedAt, FAST_HALF_LIFE_MS) + fadeOver(count.requests, spanMs, FAST_HALF_LIFE_MS)
    held.updatedAt = now
    if (count.requests > 0) held.lastAskedAt = now
    held.inHand.set(from, { count: count.inHand, at: now })
    if (count.ended > 0) this.noteEnded(held, count)
    this.tracked.set(name, held)
  }

  /** Somebody waits for it; it counts like one request until the counts come that tell of it. */
  noteWaiting (name: string): void {
    this.waitedAt.set(name, this.clock.readTime())
  }

  read (name: string): ModelDemand {
    const held = this.tracked.get(name)
    const now = this.clock.readTime()
    const isWaiting = now - (this.waitedAt.get(name) ?? -Infinity) < IN_HAND_KEPT_MS
    const least = isWaiting ? computeRate(SLOW_HALF_LIFE_MS) : 0
    if (!held) return { requestsPerSecond: least, places: least * this.heldMs / 1000, readingMs: 0, heldMs: this.heldMs, idleMs: isWaiting ? 0 : Infinity }
    const agoMs = now - held.updatedAt
    const slow = fade(held.slow, agoMs, SLOW_HALF_LIFE_MS) * computeRate(SLOW_HALF_LIFE_MS)
    const expected = this.followsTrend ? estimateRate(slow, fade(held.fast, agoMs, FAST_HALF_LIFE_MS)) : slow
    const requestsPerSecond = Math.max(least, expected)
    const heldMs = held.heldMs ?? this.heldMs
    // Streams that have just begun tell of more to come; while all servers are full the long ones have not ended yet and count for too little.
    const places = Math.max(requestsPerSecond * heldMs / 1000, sumInHand(held, now))
    const readingMs = requestsPerSecond * held.readTokens / PREFILL_TOKENS_PER_MS
    return { requestsPerSecond, places, readingMs, heldMs, idleMs: now - held.lastAskedAt }
  }

  private noteEnded (held: Tracked, count: Pick<DemandCount, 'ended' | 'heldMs' | 'readTokens'>): void {
    const weight = 1 - (1 - HELD_WEIGHT) ** count.ended
    const meanMs = count.heldMs / count.ended
    held.readTokens = held.readTokens * (1 - weight) + count.readTokens / count.ended * weight
    held.heldMs = (held.heldMs ?? meanMs) * (1 - weight) + meanMs * weight
    this.heldMs = this.heldMs * (1 - weight) + meanMs * weight
  }
}

/**
 * The rate some three seconds from now, halfway through a load from the store, on the assumption that a rise goes on as it began. Requests may
 * come close together or stay away by chance, so that only what is beyond their scatter counts as a rise or a fall.
 */
function estimateRate (slow: number, recent: number): number {
  const scatter = Math.sqrt(recent)
  const least = Math.max(0, recent - scatter) * computeRate(FAST_HALF_LIFE_MS)
  const most = (recent + scatter + 1) * computeRate(FAST_HALF_LIFE_MS)
  // The two rates are about four seconds apart on average, so that a rise of the same size again lies about as far ahead.
  return least > slow ? least + (least - slow) : Math.min(slow, most)
}

function sumInHand (held: Tracked, now: number): number {
  let sum = 0
  for (const { count, at } of held.inHand.values()) {
    if (now - at < IN_HAND_KEPT_MS) sum += count
  }
  return sum
}

/** Requests a second for each faded request. */
function computeRate (halfLifeMs: number): number {
  return Math.LN2 / halfLifeMs * 1000
}

/** Faded count of requests that came evenly over a span up to now; while nobody orders, a span may last seconds. */
function fadeOver (count: number, spanMs: number, halfLifeMs: number): number {
  const lives = spanMs / halfLifeMs
  return lives === 0 ? count : count * (1 - 2 ** -lives) / (lives * Math.LN2)
}

function fade (count: number, agoMs: number, halfLifeMs: number): number {
  return count * 2 ** (-agoMs / halfLifeMs)
}
