import type { RouteTable, Team } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { RateVerdict } from './RatePool.js'
import { TeamLimits } from './TeamLimits.js'

const USAGE = defineChannel<[team: string, units: number][]>('limits.used', { isOneShot: true })
const ANNOUNCE_INTERVAL_MS = 100

/** One instance's replica of a team's token bucket. */
interface Bucket {
  level: number
  refilledAt: number
}

export interface CountedLimitsOptions {
  clock: Clock
  network: PeerNetwork
  readTable: () => RouteTable | undefined
}

/**
 * Enforces quotas with replicated counters: every instance keeps a bucket for the whole system and deducts its own usage and the usage that others announce.
 * No request waits for another instance, but usage that isn't announced yet exceeds the quota, and usage lost with a message or a process is not counted.
 */
export class CountedLimits extends TeamLimits {
  private readonly buckets = new Map<string, Bucket>()
  private readonly unannounced = new Map<string, number>()

  constructor (private readonly opts: CountedLimitsOptions) {
    super()
  }

  override start (signal: AbortSignal): void {
    const subscription = this.opts.network.receive(USAGE).subscribe(({ body }) => {
      for (const [name, units] of body) this.count(name, units)
    })
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
    keepRunning({ task: 'announcements of usage', clock: this.opts.clock, signal, run: () => this.runAnnounceLoop(signal) })
  }

  override acquire (team: Team, units: number): Promise<RateVerdict> {
    if (!team.quota) return Promise.resolve({ isGranted: true })
    const { level } = this.refill(team.name)
    if (level < units) return Promise.resolve({ isGranted: false, retryAfterMs: (units - level) * 1000 / team.quota.ratePerSecond })
    this.count(team.name, units)
    this.recordUnannounced(team.name, units)
    return Promise.resolve({ isGranted: true })
  }

  override release (team: Team, units: number): void {
    this.count(team.name, -units)
    this.recordUnannounced(team.name, -units)
  }

  private recordUnannounced (name: string, units: number): void {
    this.unannounced.set(name, (this.unannounced.get(name) ?? 0) + units)
  }

  private count (name: string, units: number): void {
    this.refill(name).level -= units
  }

  /** Returns the bucket, refilled up to the current time; a new one is empty. */
  private refill (name: string): Bucket {
    const now = this.opts.clock.readTime()
    const quota = this.opts.readTable()?.findTeam(name)?.quota
    const bucket = this.buckets.get(name) ?? { level: 0, refilledAt: now }
    this.buckets.set(name, bucket)
    if (quota) bucket.level = Math.min(quota.burst, bucket.level + quota.ratePerSecond / 1000 * (now - bucket.refilledAt))
    bucket.refilledAt = now
    return bucket
  }

  private async runAnnounceLoop (signal: AbortSignal): Promise<void> {
    const { clock, network } = this.opts
    while (!signal.aborted) {
      await clock.wait(ANNOUNCE_INTERVAL_MS, signal)
      if (this.unannounced.size === 0) continue
      network.broadcast(USAGE, [...this.unannounced])
      this.unannounced.clear()
    }
  }
}
