import type { RouteTable, Team, TeamQuota } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { PooledRate, RateBounds, RateVerdict } from './RatePool.js'
import { RatePools, type LimitsMembership, type TimeContribution } from './RatePools.js'
import { TeamLimits } from './TeamLimits.js'

const TIME_CONTRIBUTIONS = defineChannel<TimeContribution>('limits.earned')
const ACQUIRE = defineChannel<{ team: string, units: number, quota: TeamQuota }, RateVerdict>('limits.asked')
const UNUSED_UNITS = defineChannel<{ team: string, units: number }>('limits.given-back', { isOneShot: true })

const OWNER_TIMEOUT_MS = 250
const NO_OWNER_RETRY_SECONDS = 0.3

export interface PooledLimitsOptions {
  clock: Clock
  network: PeerNetwork
  membership: LimitsMembership
  bounds: RateBounds
  readTable: () => RouteTable | undefined
}

/** Enforces quotas with one pool per team, kept by an instance that owns it. */
export class PooledLimits extends TeamLimits {
  private readonly pools: RatePools

  constructor (private readonly opts: PooledLimitsOptions) {
    super()
    // An instance on standby doesn't know the teams, so it always lends its time.
    this.pools = new RatePools({ ...opts, contributions: TIME_CONTRIBUTIONS, namespace: 'quotas', listRates: () => this.listQuotas(), mustLend: () => true })
  }

  override start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(ACQUIRE, (_, { team, units, quota }) => this.takeLocally(team, units, quota))
    const subscription = network.receive(UNUSED_UNITS).subscribe(({ body }) => this.pools.release(body.team, body.units))
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
    this.pools.start(signal)
  }

  override async acquire (team: Team, units: number): Promise<RateVerdict> {
    const { name, quota } = team
    if (!quota) return { isGranted: true }
    const verdict = await this.pools.callOwner(name, {
      runLocally: () => this.pools.findPool(name, quota).take(units),
      callPeer: (owner) => this.opts.network.call(owner, ACQUIRE, { team: name, units, quota }, OWNER_TIMEOUT_MS),
    })
    if (verdict) return verdict
    throw new PulleystackError('INSTANCE_UNREACHABLE', 'No instance responsible for the quota of the team responded', {
      ran: Ran.NO,
      retryAfterSeconds: NO_OWNER_RETRY_SECONDS,
    })
  }

  override release (team: Team, units: number): void {
    if (!team.quota) return
    const owner = this.pools.findOwner(team.name)
    if (owner === this.pools.self) this.pools.findPool(team.name, team.quota).release(units)
    else if (owner !== undefined) this.opts.network.send(owner, UNUSED_UNITS, { team: team.name, units })
  }

  /** Takes units for a peer, using the quota known here, or else the peer's. */
  private takeLocally (team: string, units: number, quota: TeamQuota): RateVerdict {
    return this.pools.findPool(team, this.opts.readTable()?.findTeam(team)?.quota ?? quota).take(units)
  }

  private listQuotas (): ReadonlyMap<string, PooledRate> {
    const teams = this.opts.readTable()?.config.teams ?? []
    return new Map(teams.flatMap(({ name, quota }): [string, PooledRate][] => quota ? [[name, quota]] : []))
  }
}
