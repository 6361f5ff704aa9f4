import type { Clock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { findOwner, hashText } from '@pulleystack/core.hashing'
import type { Channel, PeerNetwork } from '@pulleystack/membership.peers'
import type { Result } from 'neverthrow'
import { RatePool, type PooledRate, type RateBounds } from './RatePool.js'

/** Milliseconds that an instance brings for groups of rates; one on standby lends them for all. `sentAt` is its monotone time. */
export type EarnedTime =
  | { kind: 'brought', sentAt: number, groups: [group: number, ms: number][] }
  | { kind: 'lent', sentAt: number, ms: number }

/** Earned time is brought so often: 28 instances that serve send 28 x GROUPS x 4 messages a second with it, all together. */
const BRING_MS = 250
/** Time not brought by then is lost, so that it is never spent beside what is earned later: of a process that did not run, over a link that was silent. */
const KEEP_MS = 300
/** Rates share pools' owners by groups. More owners: a lost one holds up fewer rates; fewer: less is sent. */
const GROUPS = 8
/** An owner that did not answer is not asked again for so long; by then its link has been found to be silent. */
const AVOID_MS = 2_500
/** A request asks so many owners, one after the other. */
const MAX_ASKS = 3

/** How an instance stands among those that share rates. */
export interface LimitsStanding {
  instance: string
  /** All instances that may exist, this one among them, whether they serve or not; undefined while that is not known. */
  countInstances: () => number | undefined
  /** Whether this instance serves. */
  isServing: () => boolean
  /** The other instances that serve and have a live link. */
  listServing: () => readonly string[]
}

export interface RatePoolsOptions {
  clock: Clock
  network: PeerNetwork
  standing: LimitsStanding
  bounds: RateBounds
  /** Carries the time that instances earned. */
  earned: Channel<EarnedTime>
  /** Tells these pools from those of other rates when an owner is chosen. */
  kind: string
  /** Rates in force, as far as this instance knows, by name. */
  listRates: () => ReadonlyMap<string, PooledRate>
  /** Whether an instance on standby lends its time; false while no rate can be in force. */
  mustLend: () => boolean
}

/** How an owner is asked: by a call of its own methods, or by a message. */
export interface OwnerCall<Answer> {
  askSelf: () => Answer
  askPeer: (owner: string) => Promise<Result<Answer, PulleystackError>>
}

/**
 * Rates that all instances keep together, by one pool a rate at an instance that all agree on (rendezvous hashing over those that serve). Whoever wants
 * units asks the pool's owner, which takes a few milliseconds; no bound stands on who knows what when, as time that an instance earned is spent at the
 * one place that it was brought to.
 */
export class RatePools {
  private readonly pools = new Map<string, RatePool>()
  private readonly avoidedUntil = new Map<string, number>()
  /** Monotone times at which peers last brought time. */
  private readonly broughtAt = new Map<string, number>()
  private earnedSince: number
  /** Time that instances on standby lent and that is not brought to pools yet. */
  private lentMs = 0

  constructor (private readonly opts: RatePoolsOptions) {
    this.earnedSince = opts.clock.readTime()
  }

  /** Begins to bring what this instance earns; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const earned = this.opts.network.receive(this.opts.earned).subscribe(({ from, body }) => this.takeEarned(from, body))
    signal.addEventListener('abort', () => earned.unsubscribe(), { once: true })
    void this.keepBringing(signal)
  }

  /** Asks the owner of a rate's pool; undefined when none answers. */
  async ask<Answer> (name: string, call: OwnerCall<Answer>): Promise<Answer | undefined> {
    for (let asks = 0; asks < MAX_ASKS; asks++) {
      const owner = this.findOwner(name)
      if (owner === undefined) return undefined
      if (owner === this.self) return call.askSelf()
      const answer = await call.askPeer(owner)
      if (answer.isOk()) return answer.value
      // What it may have taken is lost; the next owner has units of its own only.
      this.avoidedUntil.set(owner, this.opts.clock.readTime() + AVOID_MS)
    }
    return undefined
  }

  /** The instance that keeps the pool of a rate; undefined when none serves. */
  findOwner (name: string): string | undefined {
    return this.findGroupOwner(findGroup(name))
  }

  /** The pool of a rate here, whoever should keep it. */
  findPool (name: string, rate: PooledRate): RatePool {
    const present = this.pools.get(name)
    if (present) {
      present.setRate(rate)
      return present
    }
    const { clock, bounds, standing } = this.opts
    const created = new RatePool({ clock, bounds, countInstances: () => standing.countInstances() ?? Infinity }, rate)
    this.pools.set(name, created)
    return created
  }

  /** Puts units back into a pool, if it is kept here. */
  giveBack (name: string, units: number): void {
    this.pools.get(name)?.giveBack(units)
  }

  get self (): string {
    return this.opts.standing.instance
  }

  private findGroupOwner (group: number): string | undefined {
    const { standing, clock, kind } = this.opts
    const now = clock.readTime()
    const others = standing.listServing().filter((instance) => (this.avoidedUntil.get(instance) ?? -Infinity) <= now)
    return findOwner(`${kind}/${group}`, standing.isServing() ? [this.self, ...others] : others)
  }

  private async keepBringing (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(BRING_MS, signal)
      this.bring()
    }
  }

  /** Brings what was earned since the last time to where it is spent. */
  private bring (): void {
    const { clock, standing } = this.opts
    const now = clock.readTime()
    const earnedMs = Math.min(KEEP_MS, now - this.earnedSince)
    const ms = earnedMs + this.lentMs
    this.earnedSince = now
    this.lentMs = 0
    this.forgetIdle()
    if (standing.countInstances() === undefined) return
    if (standing.isServing()) this.bringToPools(ms, now)
    else this.lend(ms, now)
  }

  private forgetIdle (): void {
    for (const [name, pool] of this.pools) {
      if (pool.isIdle) this.pools.delete(name)
    }
  }

  /** Leaves it to an instance that serves where the time goes. */
  private lend (ms: number, now: number): void {
    const { network, standing, earned, mustLend } = this.opts
    if (!mustLend()) return
    const borrower = findOwner(this.self, standing.listServing())
    if (borrower !== undefined) network.send(borrower, earned, { kind: 'lent', sentAt: now, ms })
  }

  private bringToPools (ms: number, now: number): void {
    const groupsByOwner = new Map<string, [number, number][]>()
    const groups = new Set([...this.opts.listRates().keys()].map(findGroup))
    for (const group of groups) {
      const owner = this.findGroupOwner(group)
      if (owner === this.self) this.addTime(group, ms)
      else if (owner !== undefined) groupsByOwner.set(owner, [...groupsByOwner.get(owner) ?? [], [group, ms]])
    }
    for (const [owner, brought] of groupsByOwner) this.opts.network.send(owner, this.opts.earned, { kind: 'brought', sentAt: now, groups: brought })
  }

  private takeEarned (from: string, earned: EarnedTime): void {
    if (this.isLate(from, earned.sentAt)) return
    this.broughtAt.set(from, this.opts.clock.readTime())
    if (earned.kind === 'lent') this.lentMs += earned.ms
    else for (const [group, ms] of earned.groups) this.addTime(group, ms)
  }

  /** Whether a message was held up on its way or came twice: what it brings would be spent beside what was earned since. */
  private isLate (from: string, sentAt: number): boolean {
    const now = this.opts.clock.readTime()
    const sent = this.opts.network.convertTime(from, sentAt)
    const isSoonAfter = now - (this.broughtAt.get(from) ?? -Infinity) < BRING_MS / 2
    return isSoonAfter || (sent !== undefined && now - sent > KEEP_MS)
  }

  private addTime (group: number, ms: number): void {
    for (const [name, rate] of this.opts.listRates()) {
      if (findGroup(name) === group) this.findPool(name, rate).add(ms)
    }
  }
}

function findGroup (name: string): number {
  return hashText(name) % GROUPS
}
