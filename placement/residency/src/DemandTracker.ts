import type { Clock } from '@pulleystack/core.clock'

/** What was asked of one model, with or without an adapter, since it was last told. */
export interface DemandCount {
  service: string
  model: string
  adapter: string | undefined
  requests: number
  /** Milliseconds of a server's time that the requests likely take. */
  workMs: number
}

const PROMPT_TOKENS_PER_MS = 60
const OUTPUT_MS_PER_TOKEN = 0.6
const HALF_LIFE_MS = 4_000

/** Milliseconds of a server's time that a request likely takes, with half of its prompt kept and others in its batch. */
export function estimateWork (promptTokens: number, outputTokens: number): number {
  return promptTokens / PROMPT_TOKENS_PER_MS + outputTokens * OUTPUT_MS_PER_TOKEN
}

interface Tracked {
  /** Server milliseconds a millisecond, smoothed. */
  rate: number
  updatedAt: number
  lastAskedAt: number
}

/** The demand for each model and adapter of one service over all instances; old demand fades. */
export class DemandTracker {
  private readonly tracked = new Map<string, Tracked>()

  constructor (private readonly clock: Clock) {}

  /** Takes what one instance counted over a while. */
  add (name: string, workMs: number): void {
    const now = this.clock.readTime()
    const held = this.tracked.get(name) ?? { rate: 0, updatedAt: now, lastAskedAt: now }
    held.rate = fade(held, now) + workMs * Math.LN2 / HALF_LIFE_MS
    held.updatedAt = now
    held.lastAskedAt = now
    this.tracked.set(name, held)
  }

  /** Servers that the demand would keep busy. */
  readRate (name: string): number {
    const held = this.tracked.get(name)
    return held ? fade(held, this.clock.readTime()) : 0
  }

  /** Milliseconds since it was last asked for; infinite when it never was. */
  readIdleMs (name: string): number {
    const held = this.tracked.get(name)
    return held ? this.clock.readTime() - held.lastAskedAt : Infinity
  }
}

function fade (held: Tracked, now: number): number {
  return held.rate * 2 ** ((held.updatedAt - now) / HALF_LIFE_MS)
}
