import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { Backend, BackendFleet } from '@pulleystack/routing.fleet'
import { RatePools, type EarnedTime, type LimitsStanding, type RateGrant } from '@pulleystack/routing.limits'
import { RetryBudgets } from '@pulleystack/routing.retries'
import { ServerPermits } from '../src/index.js'

export interface PermitWayOptions {
  clock: Clock
  random: RandomSource
  network: PeerNetwork
  standing: LimitsStanding
  fleet: BackendFleet
  /** This life follows another one of the same instance. */
  isRestarted: boolean
  onChange: () => void
}

/** How all instances together keep the limit that one server names; the ways are those by which other bounds are kept. */
export abstract class PermitWay {
  abstract start (signal: AbortSignal): void
  /** Uses up the right to send one request now; false when there is none. */
  abstract take (backend: Backend): boolean
  /** So many requests wait; `onChange` tells when more may be sent. */
  abstract request (backend: Backend, count: number): void
}

/** As quotas of teams: a pool at an agreed instance, filled with the time that all bring. */
export class PooledWay extends PermitWay {
  private readonly permits: ServerPermits

  constructor (private readonly opts: PermitWayOptions) {
    super()
    this.permits = new ServerPermits(opts)
  }

  override start (signal: AbortSignal): void {
    this.permits.start(signal)
  }

  override take ({ stated }: Backend): boolean {
    return stated.permits.take(this.opts.clock.readTime())
  }

  override request (backend: Backend, count: number): void {
    this.permits.request(backend, count)
  }
}

const OWNED_EARNED = defineChannel<EarnedTime>('owned.earned')
const OWNED_ASKED = defineChannel<number, RateGrant>('owned.asked')
const ASK_MS = 250
const ASK_AGAIN_MS = 50
const NAME = 'server'

/** As runs of requests under which servers ended: an agreed instance counts for all, by its own clock. */
export class OwnedWay extends PermitWay {
  private readonly pools: RatePools
  private isAsking = false
  private rights = 0

  constructor (private readonly opts: PermitWayOptions) {
    super()
    const standing = { ...opts.standing, countInstances: () => 1 }
    const listRates = (): Map<string, ReturnType<OwnedWay['readRate']>> => this.pools.findOwner(NAME) === this.pools.self ? new Map([[NAME, this.readRate()]]) : new Map()
    const bounds = { windowMs: 4_000, over: 0, slack: 0 }
    this.pools = new RatePools({ ...opts, standing, bounds, earned: OWNED_EARNED, kind: 'owned', listRates, mustLend: () => false })
  }

  override start (signal: AbortSignal): void {
    this.opts.network.handleCalls(OWNED_ASKED, (_, count) => this.takeOwn(count))
    this.pools.start(signal)
  }

  override take (): boolean {
    if (this.rights < 1) return false
    this.rights--
    return true
  }

  override request (_: Backend, count: number): void {
    if (this.isAsking) return
    this.isAsking = true
    void this.ask(count)
  }

  private async ask (count: number): Promise<void> {
    const { network, clock, onChange } = this.opts
    const grant = await this.pools.ask(NAME, { askSelf: () => this.takeOwn(count), askPeer: (owner) => network.call(owner, OWNED_ASKED, count, ASK_MS) })
    this.rights += grant?.granted ?? 0
    if (!grant || grant.granted < count) await clock.wait(ASK_AGAIN_MS)
    this.isAsking = false
    onChange()
  }

  private takeOwn (count: number): RateGrant {
    return this.pools.findPool(NAME, this.readRate()).takeSome(count)
  }

  private readRate (): { ratePerSecond: number, burst: number } {
    return { ratePerSecond: this.opts.fleet.findLimit({ id: NAME }).perSecond ?? 0, burst: 1 }
  }
}

/** As further attempts: each instance has its part of what a window allows, and lends of it to those that have just begun. */
export class PartsWay extends PermitWay {
  private readonly budgets: RetryBudgets

  constructor (private readonly opts: PermitWayOptions, allowed: number, windowMs: number) {
    super()
    const { clock, network, standing, isRestarted } = opts
    const begunAt = clock.readTime()
    const readLifeMs = (): number => isRestarted ? clock.readTime() - begunAt : Infinity
    const countInstances = (): number => standing.listServing().length + 1
    this.budgets = new RetryBudgets({
      clock,
      network,
      standing: { countInstances, readSharingMs: readLifeMs, readLifeMs, listPeers: standing.listServing },
      ratio: 0,
      extra: allowed,
      windowMs,
    })
  }

  override start (): void {
    // It asks nobody for anything before a request has come.
  }

  override take ({ id }: Backend): boolean {
    this.budgets.noteRequest(id)
    return this.budgets.find(id).take()
  }

  override request (): void {
    this.opts.clock.setTimer(ASK_AGAIN_MS, () => this.opts.onChange())
  }
}
