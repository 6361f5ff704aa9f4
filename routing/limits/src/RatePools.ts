import type { Clock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { findOwner, hashText } from '@pulleystack/core.hashing'
import { keepRunning } from '@pulleystack/core.tasks'
import type { Channel, PeerNetwork } from '@pulleystack/membership.peers'
import type { Result } from 'neverthrow'
import { RatePool, type PooledRate, type RateBounds } from './RatePool.js'

/** Milliseconds that an instance contributes to groups of rates; an instance on standby lends them for all groups. `sentAt` is the sender's monotonic time. */
export type TimeContribution =
  | { kind: 'brought', sentAt: number, groups: [group: number, ms: number][] }
  | { kind: 'lent', sentAt: number, ms: number }

/** Each serving instance sends up to one message per group in this interval. */
const CONTRIBUTION_INTERVAL_MS = 250
/** Time not delivered within this period is discarded, so that delayed time is never spent in addition to later time. */
const CONTRIBUTION_EXPIRY_MS = 300
/** Pools are assigned to owners in groups: more groups reduce the effect of a failed owner, fewer groups reduce messages. */
const GROUP_COUNT = 8
/** An owner that didn't respond is avoided for this long; by then the failure of its link has been detected. */
const OWNER_RETRY_MS = 2_500
const MAX_OWNER_CALLS = 3

/** An instance's view of the instances that share rates. */
export interface LimitsMembership {
  instance: string
  /** Number of all instances that may exist, including this one and those that don't serve; undefined while unknown. */
  countInstances: () => number | undefined
  isServing: () => boolean
  /** The other instances that serve and have a live link. */
  listServing: () => readonly string[]
}

export interface RatePoolsOptions {
  clock: Clock
  network: PeerNetwork
  membership: LimitsMembership
  bounds: RateBounds
  /** Channel for time contributions. */
  contributions: Channel<TimeContribution>
  /** Distinguishes these pools from those of other rates when owners are chosen. */
  namespace: string
  /** Rates that this instance knows, by name. */
  listRates: () => ReadonlyMap<string, PooledRate>
  /** Whether an instance on standby must lend its time; false while no rate can apply. */
  mustLend: () => boolean
}

/** How an owner is called: directly if it is this instance, otherwise by a message. */
export interface OwnerCall<Answer> {
  runLocally: () => Answer
  callPeer: (owner: string) => Promise<Result<Answer, PulleystackError>>
}

/**
 * Enforces rates across all instances with one pool per rate, owned by an instance chosen by rendezvous hashing over the serving instances. Instances
 * request units from the pool's owner. The limit holds even if instances disagree on the owner, since each contributes its time to one pool only.
 */
export class RatePools {
  private readonly pools = new Map<string, RatePool>()
  private readonly avoidedUntil = new Map<string, number>()
  /** Monotonic times of the last contribution, by peer. */
  private readonly receivedAt = new Map<string, number>()
  private lastContributionAt: number
  /** Time lent by instances on standby that was not sent to pools yet. */
  private lentMs = 0

  constructor (private readonly opts: RatePoolsOptions) {
    this.lastContributionAt = opts.clock.readTime()
  }

  /** Starts contributing this instance's time; stops when the signal aborts. */
  start (signal: AbortSignal): void {
    const subscription = this.opts.network.receive(this.opts.contributions).subscribe(({ from, body }) => this.applyContribution(from, body))
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
    keepRunning({ task: 'contributions to rate pools', clock: this.opts.clock, signal, run: () => this.runContributionLoop(signal) })
  }

  /** Calls the owner of a rate's pool; returns undefined when no owner responds. */
  async callOwner<Answer> (name: string, call: OwnerCall<Answer>): Promise<Answer | undefined> {
    for (let calls = 0; calls < MAX_OWNER_CALLS; calls++) {
      const owner = this.findOwner(name)
      if (owner === undefined) return undefined
      if (owner === this.self) return call.runLocally()
      const answer = await call.callPeer(owner)
      if (answer.isOk()) return answer.value
      // Units that the failed owner may have taken are lost; the next owner has its own pool.
      this.avoidedUntil.set(owner, this.opts.clock.readTime() + OWNER_RETRY_MS)
    }
    return undefined
  }

  /** The instance that owns the pool of a rate; undefined when no instance serves. */
  findOwner (name: string): string | undefined {
    return this.findGroupOwner(findGroup(name))
  }

  /** This instance's pool of a rate, whether or not it is the owner; created if needed. */
  findPool (name: string, rate: PooledRate): RatePool {
    const existing = this.pools.get(name)
    if (existing) {
      existing.setRate(rate)
      return existing
    }
    const { clock, bounds, membership } = this.opts
    const created = new RatePool({ clock, bounds, countInstances: () => membership.countInstances() ?? Infinity }, rate)
    this.pools.set(name, created)
    return created
  }

  /** Returns units to a pool if this instance has it. */
  release (name: string, units: number): void {
    this.pools.get(name)?.release(units)
  }

  get self (): string {
    return this.opts.membership.instance
  }

  private findGroupOwner (group: number): string | undefined {
    const { membership, clock, namespace } = this.opts
    const now = clock.readTime()
    const others = membership.listServing().filter((instance) => (this.avoidedUntil.get(instance) ?? -Infinity) <= now)
    return findOwner(`${namespace}/${group}`, membership.isServing() ? [this.self, ...others] : others)
  }

  private async runContributionLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(CONTRIBUTION_INTERVAL_MS, signal)
      this.sendTime()
    }
  }

  /** Sends the time elapsed since the last call to the owners of the pools. */
  private sendTime (): void {
    const { clock, membership } = this.opts
    const now = clock.readTime()
    const earnedMs = Math.min(CONTRIBUTION_EXPIRY_MS, now - this.lastContributionAt)
    const ms = earnedMs + this.lentMs
    this.lastContributionAt = now
    this.lentMs = 0
    this.removeIdlePools()
    if (membership.countInstances() === undefined) return
    if (membership.isServing()) this.sendToPools(ms, now)
    else this.lend(ms, now)
  }

  private removeIdlePools (): void {
    for (const [name, pool] of this.pools) {
      if (pool.isIdle) this.pools.delete(name)
    }
  }

  /** Lends the time to a serving instance, which distributes it to the pools. */
  private lend (ms: number, now: number): void {
    const { network, membership, contributions, mustLend } = this.opts
    if (!mustLend()) return
    const borrower = findOwner(this.self, membership.listServing())
    if (borrower !== undefined) network.send(borrower, contributions, { kind: 'lent', sentAt: now, ms })
  }

  private sendToPools (ms: number, now: number): void {
    const groupsByOwner = new Map<string, [number, number][]>()
    const groups = new Set([...this.opts.listRates().keys()].map(findGroup))
    for (const group of groups) {
      const owner = this.findGroupOwner(group)
      if (owner === this.self) this.addTime(group, ms)
      else if (owner !== undefined) groupsByOwner.set(owner, [...groupsByOwner.get(owner) ?? [], [group, ms]])
    }
    for (const [owner, brought] of groupsByOwner) this.opts.network.send(owner, this.opts.contributions, { kind: 'brought', sentAt: now, groups: brought })
  }

  private applyContribution (from: string, contribution: TimeContribution): void {
    if (this.isStale(from, contribution.sentAt)) return
    this.receivedAt.set(from, this.opts.clock.readTime())
    if (contribution.kind === 'lent') this.lentMs += contribution.ms
    else for (const [group, ms] of contribution.groups) this.addTime(group, ms)
  }

  /** Whether a message was delayed or duplicated; its time must not be spent in addition to later time. */
  private isStale (from: string, sentAt: number): boolean {
    const now = this.opts.clock.readTime()
    const localSentAt = this.opts.network.convertTime(from, sentAt)
    const isRepeated = now - (this.receivedAt.get(from) ?? -Infinity) < CONTRIBUTION_INTERVAL_MS / 2
    return isRepeated || (localSentAt !== undefined && now - localSentAt > CONTRIBUTION_EXPIRY_MS)
  }

  private addTime (group: number, ms: number): void {
    for (const [name, rate] of this.opts.listRates()) {
      if (findGroup(name) === group) this.findPool(name, rate).addTime(ms)
    }
  }
}

function findGroup (name: string): number {
  return hashText(name) % GROUP_COUNT
}
