import type { RouteTable, Team, TeamQuota } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { PooledRate, RateBounds, RateVerdict } from './RatePool.js'
import { RatePools, type EarnedTime, type LimitsStanding } from './RatePools.js'
import { TeamLimits } from './TeamLimits.js'

const EARNED = defineChannel<EarnedTime>('limits.earned')
const ASKED = defineChannel<{ team: string, units: number, quota: TeamQuota }, RateVerdict>('limits.asked')
const GIVEN_BACK = defineChannel<{ team: string, units: number }>('limits.given-back', { isOnce: true })

/** An instance answers within a few milliseconds, unless it is gone or does not run. */
const ASK_MS = 250
/** With no owner to be found, callers come back after that. */
const NO_OWNER_RETRY_SECONDS = 0.3

export interface PooledLimitsOptions {
  clock: Clock
  network: PeerNetwork
  standing: LimitsStanding
  bounds: RateBounds
  readTable: () => RouteTable | undefined
}

/** Quotas by one pool a team. */
export class PooledLimits extends TeamLimits {
  private readonly pools: RatePools

  constructor (private readonly opts: PooledLimitsOptions) {
    super()
    // An instance on standby knows no teams.
    this.pools = new RatePools({ ...opts, earned: EARNED, kind: 'quotas', listRates: () => this.listQuotas(), mustLend: () => true })
  }

  override start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(ASKED, (_, { team, units, quota }) => this.takeOwn(team, units, quota))
    const returned = network.receive(GIVEN_BACK).subscribe(({ body }) => this.pools.giveBack(body.team, body.units))
    signal.addEventListener('abort', () => returned.unsubscribe(), { once: true })
    this.pools.start(signal)
  }

  override async acquire (team: Team, units: number): Promise<RateVerdict> {
    const { name, quota } = team
    if (!quota) return { isGranted: true }
    const verdict = await this.pools.ask(name, {
      askSelf: () => this.pools.findPool(name, quota).take(units),
      askPeer: (owner) => this.opts.network.call(owner, ASKED, { team: name, units, quota }, ASK_MS),
    })
    if (verdict) return verdict
    throw new PulleystackError('INSTANCE_UNREACHABLE', 'No instance that keeps the quota of the team answers', { ran: Ran.NO, retryAfterSeconds: NO_OWNER_RETRY_SECONDS })
  }

  override giveBack (team: Team, units: number): void {
    if (!team.quota) return
    const owner = this.pools.findOwner(team.name)
    if (owner === this.pools.self) this.pools.findPool(team.name, team.quota).giveBack(units)
    else if (owner !== undefined) this.opts.network.send(owner, GIVEN_BACK, { team: team.name, units })
  }

  /** Takes units for a peer, by the quota that is known here or else by the one that the peer knows. */
  private takeOwn (team: string, units: number, quota: TeamQuota): RateVerdict {
    return this.pools.findPool(team, this.opts.readTable()?.findTeam(team)?.quota ?? quota).take(units)
  }

  private listQuotas (): ReadonlyMap<string, PooledRate> {
    const teams = this.opts.readTable()?.config.teams ?? []
    return new Map(teams.flatMap(({ name, quota }): [string, PooledRate][] => quota ? [[name, quota]] : []))
  }
}
