import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { Backend, BackendFleet } from '@pulleystack/routing.fleet'
import { RatePools, type LimitsMembership, type RateGrant, type TimeContribution } from '@pulleystack/routing.limits'
import { RetryBudgets } from '@pulleystack/routing.retries'
import { ServerPermits } from '../src/index.js'

export interface PermitStrategyOptions {
  clock: Clock
  random: RandomSource
  network: PeerNetwork
  membership: LimitsMembership
  fleet: BackendFleet
  /** Whether the instance had a previous process run. */
  isRestarted: boolean
  onChange: () => void
}

/** A strategy to enforce one server's rate limit across all instances. */
export abstract class PermitStrategy {
  abstract start (signal: AbortSignal): void
  /** Uses a permit to send one request now; returns false when there is none. */
  abstract take (backend: Backend): boolean
  /** Requests permits for `count` waiting requests; `onChange` is called when more may be sent. */
  abstract request (backend: Backend, count: number): void
}

/** A pool at an owner instance, refilled by time that all instances contribute, as for quotas of teams. */
export class PooledStrategy extends PermitStrategy {
  private readonly permits: ServerPermits

  constructor (private readonly opts: PermitStrategyOptions) {
    super()
    this.permits = new ServerPermits(opts)
  }

  override start (signal: AbortSignal): void {
    this.permits.start(signal)
  }

  override take ({ reported }: Backend): boolean {
    return reported.permits.take(this.opts.clock.readTime())
  }

  override request (backend: Backend, count: number): void {
    this.permits.request(backend, count)
  }
}

const OWNED_TIME_CONTRIBUTIONS = defineChannel<TimeContribution>('owned.earned')
const OWNED_ACQUIRE = defineChannel<number, RateGrant>('owned.asked')
const OWNER_TIMEOUT_MS = 250
const RETRY_MS = 50
const SERVER = 'server'

/** An owner instance counts for all instances by its own clock, as for runs of suspect requests. */
export class SingleOwnerStrategy extends PermitStrategy {
  private readonly pools: RatePools
  private isAsking = false
  private permits = 0

  constructor (private readonly opts: PermitStrategyOptions) {
    super()
    const membership = { ...opts.membership, countInstances: () => 1 }
    const listRates = (): Map<string, ReturnType<SingleOwnerStrategy['readRate']>> =>
      this.pools.findOwner(SERVER) === this.pools.self ? new Map([[SERVER, this.readRate()]]) : new Map()
    const bounds = { windowMs: 4_000, toleranceShare: 0, toleranceUnits: 0 }
    this.pools = new RatePools({ ...opts, membership, bounds, contributions: OWNED_TIME_CONTRIBUTIONS, namespace: 'owned', listRates, mustLend: () => false })
  }

  override start (signal: AbortSignal): void {
    this.opts.network.handleCalls(OWNED_ACQUIRE, (_, count) => this.takeLocally(count))
    this.pools.start(signal)
  }

  override take (): boolean {
    if (this.permits < 1) return false
    this.permits--
    return true
  }

  override request (_: Backend, count: number): void {
    if (this.isAsking) return
    this.isAsking = true
    void this.askOwner(count)
  }

  private async askOwner (count: number): Promise<void> {
    const { network, clock, onChange } = this.opts
    const grant = await this.pools.callOwner(SERVER, {
      runLocally: () => this.takeLocally(count),
      callPeer: (owner) => network.call(owner, OWNED_ACQUIRE, count, OWNER_TIMEOUT_MS),
    })
    this.permits += grant?.granted ?? 0
    if (!grant || grant.granted < count) await clock.wait(RETRY_MS)
    this.isAsking = false
    onChange()
  }

  private takeLocally (count: number): RateGrant {
    return this.pools.findPool(SERVER, this.readRate()).takeUpTo(count)
  }

  private readRate (): { ratePerSecond: number, burst: number } {
    return { ratePerSecond: this.opts.fleet.findLimit({ id: SERVER }).perSecond ?? 0, burst: 1 }
  }
}

/** Each instance has a share of what a window allows and lends to restarted instances, as for retry budgets. */
export class SharesStrategy extends PermitStrategy {
  private readonly budgets: RetryBudgets

  constructor (private readonly opts: PermitStrategyOptions, maxPerWindow: number, windowMs: number) {
    super()
    const { clock, network, membership, isRestarted } = opts
    const startedAt = clock.readTime()
    const readUptimeMs = (): number => isRestarted ? clock.readTime() - startedAt : Infinity
    const countInstances = (): number => membership.listServing().length + 1
    this.budgets = new RetryBudgets({
      clock,
      network,
      membership: { countInstances, readServingMs: readUptimeMs, readRunMs: readUptimeMs, listPeers: membership.listServing },
      ratio: 0,
      fixedAllowance: maxPerWindow,
      windowMs,
    })
  }

  override start (): void {
    // Nothing to do before the first request.
  }

  override take ({ id }: Backend): boolean {
    this.budgets.recordRequest(id)
    return this.budgets.find(id).take()
  }

  override request (): void {
    this.opts.clock.setTimer(RETRY_MS, () => this.opts.onChange())
  }
}
