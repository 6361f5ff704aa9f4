import type { RouteTable, Team } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { RateVerdict } from './RatePool.js'
import { TeamLimits } from './TeamLimits.js'

const USED = defineChannel<[team: string, units: number][]>('limits.used', { isOnce: true })
/** What was used is told so often. */
const TELL_MS = 100

/** A team's bucket as one instance knows it. */
interface Bucket {
  level: number
  filledAt: number
}

export interface CountedLimitsOptions {
  clock: Clock
  network: PeerNetwork
  readTable: () => RouteTable | undefined
}

/**
 * Quotas by counters that are told to all: every instance keeps a bucket for the whole system and takes from it what it uses and what others tell. No
 * request waits for another instance; what nobody knows yet goes over the quota, and what is lost with a message or a life is never counted.
 */
export class CountedLimits extends TeamLimits {
  private readonly buckets = new Map<string, Bucket>()
  private readonly untold = new Map<string, number>()

  constructor (private readonly opts: CountedLimitsOptions) {
    super()
  }

  override start (signal: AbortSignal): void {
    const told = this.opts.network.receive(USED).subscribe(({ body }) => {
      for (const [name, units] of body) this.count(name, units)
    })
    signal.addEventListener('abort', () => told.unsubscribe(), { once: true })
    void this.keepTelling(signal)
  }

  override acquire (team: Team, units: number): Promise<RateVerdict> {
    if (!team.quota) return Promise.resolve({ isGranted: true })
    const { level } = this.fill(team.name)
    if (level < units) return Promise.resolve({ isGranted: false, retryAfterMs: (units - level) * 1000 / team.quota.ratePerSecond })
    this.count(team.name, units)
    this.noteUntold(team.name, units)
    return Promise.resolve({ isGranted: true })
  }

  override giveBack (team: Team, units: number): void {
    this.count(team.name, -units)
    this.noteUntold(team.name, -units)
  }

  private noteUntold (name: string, units: number): void {
    this.untold.set(name, (this.untold.get(name) ?? 0) + units)
  }

  private count (name: string, units: number): void {
    this.fill(name).level -= units
  }

  /** The bucket with what came to it since it was last looked at; a new one is empty. */
  private fill (name: string): Bucket {
    const now = this.opts.clock.readTime()
    const quota = this.opts.readTable()?.findTeam(name)?.quota
    const bucket = this.buckets.get(name) ?? { level: 0, filledAt: now }
    this.buckets.set(name, bucket)
    if (quota) bucket.level = Math.min(quota.burst, bucket.level + quota.ratePerSecond / 1000 * (now - bucket.filledAt))
    bucket.filledAt = now
    return bucket
  }

  private async keepTelling (signal: AbortSignal): Promise<void> {
    const { clock, network } = this.opts
    while (!signal.aborted) {
      await clock.wait(TELL_MS, signal)
      if (this.untold.size === 0) continue
      network.broadcast(USED, [...this.untold])
      this.untold.clear()
    }
  }
}
