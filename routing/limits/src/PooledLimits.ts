import type { RouteTable, Team, TeamQuota } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { findOwner, hashText } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { QuotaPool, type QuotaBounds } from './QuotaPool.js'
import { TeamLimits, type QuotaVerdict } from './TeamLimits.js'

/** Milliseconds that an instance brings for groups of teams; one on standby knows no teams and lends them for all. `sentAt` is its monotone time. */
type EarnedTime =
  | { kind: 'brought', sentAt: number, groups: [group: number, ms: number][] }
  | { kind: 'lent', sentAt: number, ms: number }

const EARNED = defineChannel<EarnedTime>('limits.earned')
const ASKED = defineChannel<{ team: string, units: number, quota: TeamQuota }, QuotaVerdict>('limits.asked')
const GIVEN_BACK = defineChannel<{ team: string, units: number }>('limits.given-back', { isOnce: true })

/** Earned time is brought so often: 28 instances that serve send 28 x GROUPS x 4 messages a second with it, all together. */
const BRING_MS = 250
/** Time not brought by then is lost, so that it is never spent beside what is earned later: of a process that did not run, over a link that was silent. */
const KEEP_MS = 300
/** Teams share pools' owners by groups. More owners: a lost one holds up fewer teams; fewer: less is sent. */
const GROUPS = 8
/** An instance answers within a few milliseconds, unless it is gone or does not run. */
const ASK_MS = 250
/** An owner that did not answer is not asked again for so long; by then its link has been found to be silent. */
const AVOID_MS = 2_500
/** A request asks so many owners, one after the other. */
const MAX_ASKS = 3
/** With no owner to be found, callers come back after that. */
const NO_OWNER_RETRY_SECONDS = 0.3

/** How an instance stands among those that share the quotas. */
export interface LimitsStanding {
  instance: string
  /** All instances that may exist, this one among them, whether they serve or not; undefined while that is not known. */
  countInstances: () => number | undefined
  /** Whether this instance serves. */
  isServing: () => boolean
  /** The other instances that serve and have a live link. */
  listServing: () => readonly string[]
}

export interface PooledLimitsOptions {
  clock: Clock
  network: PeerNetwork
  standing: LimitsStanding
  bounds: QuotaBounds
  readTable: () => RouteTable | undefined
}

/**
 * Quotas by one pool a team, at an instance that all agree on (rendezvous hashing over those that serve). A request asks the pool's owner, which takes a
 * few milliseconds; no bound stands on who knows what when, as time that an instance earned is spent at the one place that it was brought to.
 */
export class PooledLimits extends TeamLimits {
  private readonly pools = new Map<string, QuotaPool>()
  private readonly avoidedUntil = new Map<string, number>()
  /** Monotone times at which peers last brought time. */
  private readonly broughtAt = new Map<string, number>()
  private earnedSince: number
  /** Time that instances on standby lent and that is not brought to pools yet. */
  private lentMs = 0

  constructor (private readonly opts: PooledLimitsOptions) {
    super()
    this.earnedSince = opts.clock.readTime()
  }

  override start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(ASKED, (_, { team, units, quota }) => this.findPool(team, this.opts.readTable()?.findTeam(team)?.quota ?? quota).take(units))
    const earned = network.receive(EARNED).subscribe(({ from, body }) => this.takeEarned(from, body))
    const returned = network.receive(GIVEN_BACK).subscribe(({ body }) => this.pools.get(body.team)?.giveBack(body.units))
    signal.addEventListener('abort', () => {
      earned.unsubscribe()
      returned.unsubscribe()
    }, { once: true })
    void this.keepBringing(signal)
  }

  override async acquire (team: Team, units: number): Promise<QuotaVerdict> {
    if (!team.quota) return { isGranted: true }
    for (let asks = 0; asks < MAX_ASKS; asks++) {
      const owner = this.findOwner(findGroup(team.name))
      if (owner === undefined) break
      if (owner === this.self) return this.findPool(team.name, team.quota).take(units)
      const answer = await this.opts.network.call(owner, ASKED, { team: team.name, units, quota: team.quota }, ASK_MS)
      if (answer.isOk()) return answer.value
      // What it may have taken is lost; the next owner has units of its own only.
      this.avoidedUntil.set(owner, this.opts.clock.readTime() + AVOID_MS)
    }
    throw new PulleystackError('INSTANCE_UNREACHABLE', 'No instance that keeps the quota of the team answers', { ran: Ran.NO, retryAfterSeconds: NO_OWNER_RETRY_SECONDS })
  }

  override giveBack (team: Team, units: number): void {
    if (!team.quota) return
    const owner = this.findOwner(findGroup(team.name))
    if (owner === this.self) this.findPool(team.name, team.quota).giveBack(units)
    else if (owner !== undefined) this.opts.network.send(owner, GIVEN_BACK, { team: team.name, units })
  }

  private get self (): string {
    return this.opts.standing.instance
  }

  private findOwner (group: number): string | undefined {
    const { standing, clock } = this.opts
    const now = clock.readTime()
    const others = standing.listServing().filter((instance) => (this.avoidedUntil.get(instance) ?? -Infinity) <= now)
    return findOwner(`quotas/${group}`, standing.isServing() ? [this.self, ...others] : others)
  }

  private findPool (name: string, quota: TeamQuota): QuotaPool {
    const present = this.pools.get(name)
    if (present) {
      present.setQuota(quota)
      return present
    }
    const { clock, bounds, standing } = this.opts
    const created = new QuotaPool({ clock, bounds, countInstances: () => standing.countInstances() ?? Infinity }, quota)
    this.pools.set(name, created)
    return created
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
    if (standing.countInstances() === undefined) return
    if (standing.isServing()) this.bringToPools(ms, now)
    else this.lend(ms, now)
  }

  /** Leaves it to an instance that serves where the time goes, as this one knows no teams. */
  private lend (ms: number, now: number): void {
    const { network, standing } = this.opts
    const borrower = findOwner(this.self, standing.listServing())
    if (borrower !== undefined) network.send(borrower, EARNED, { kind: 'lent', sentAt: now, ms })
  }

  private bringToPools (ms: number, now: number): void {
    const byOwner = new Map<string, [number, number][]>()
    for (const group of this.listGroups()) {
      const owner = this.findOwner(group)
      if (owner === this.self) this.addTime(group, ms)
      else if (owner !== undefined) byOwner.set(owner, [...byOwner.get(owner) ?? [], [group, ms]])
    }
    for (const [owner, groups] of byOwner) this.opts.network.send(owner, EARNED, { kind: 'brought', sentAt: now, groups })
  }

  /** Groups that have a team with a quota. */
  private listGroups (): Set<number> {
    const teams = this.opts.readTable()?.config.teams ?? []
    return new Set(teams.filter((team) => team.quota).map((team) => findGroup(team.name)))
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
    for (const team of this.opts.readTable()?.config.teams ?? []) {
      if (team.quota && findGroup(team.name) === group) this.findPool(team.name, team.quota).add(ms)
    }
  }
}

function findGroup (team: string): number {
  return hashText(team) % GROUPS
}
