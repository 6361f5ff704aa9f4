import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { nameLife, type Backend, type BackendFleet, type ServerLife, type StatedFacts } from '@pulleystack/routing.fleet'
import { RatePools, type EarnedTime, type LimitsStanding, type PooledRate, type RateGrant } from '@pulleystack/routing.limits'

/** Asks the owner of a server's pool for rights to send; `perSecond` is the limit that the asker knows. */
interface PermitRequest {
  life: ServerLife
  perSecond: number
  count: number
}

const EARNED = defineChannel<EarnedTime>('permits.earned')
const ASKED = defineChannel<PermitRequest, RateGrant>('permits.asked')
const GIVEN_BACK = defineChannel<{ life: ServerLife, count: number }>('permits.given-back', { isOnce: true })

/** An owner answers within a few milliseconds, unless it is gone or does not run. */
const ASK_MS = 250
/** What is not used within this time goes back, so that it is neither lost to others nor used beside what is given out much later. */
const HOLD_MS = 400
/** Pause after an owner had nothing to give: pools are filled in rounds, and several instances ask. */
const LEAST_PAUSE_MS = 50
const MOST_PAUSE_MS = 500
/** Instances that wait for the same pool ask at moments that differ by up to this share of their pause. */
const PAUSE_SPREAD = 0.25
/** With a lower limit too few requests would go there to show that it is over; the platform allows each server some beside its limit. */
const LEAST_PER_SECOND = 0.25
/** No server takes as many. */
const MOST_PER_SECOND = 1_000_000
/** Requests that may come at once after a rest. */
const BURST = 1
/** An instance on standby knows no servers, and lends its time for so long after it was told of a limit; it is told twice in this time while one stands. */
const LEND_MS = 75_000
/** The window in which the platform counts, and the share that makes up for time that is lost on its way to a pool; callers get less without it. */
const BOUNDS = { windowMs: 4_000, over: 0.2, slack: 0 }

export interface ServerPermitsOptions {
  clock: Clock
  random: RandomSource
  network: PeerNetwork
  standing: LimitsStanding
  fleet: BackendFleet
  /** More may be sent somewhere, or asked for again. */
  onChange: () => void
}

/**
 * The rights to send requests to servers that name a limit. All instances together keep each limit by one pool, at an owner that they agree on; whoever has
 * a request for the server asks the owner for a right to send it. A right may be got ahead of the request that uses it, so that a request with other servers
 * at hand never waits for one.
 */
export class ServerPermits {
  private readonly pools: RatePools

  constructor (private readonly opts: ServerPermitsOptions) {
    this.pools = new RatePools({
      ...opts,
      bounds: BOUNDS,
      earned: EARNED,
      kind: 'permits',
      listRates: () => this.listRates(),
      mustLend: () => opts.clock.readTime() - opts.fleet.limitsToldAt < LEND_MS,
    })
  }

  /** Begins to answer peers and to bring what this instance earns; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(ASKED, (_, request) => this.takeOwn(request))
    const returned = network.receive(GIVEN_BACK).subscribe(({ body }) => this.pools.giveBack(nameLife(body.life), body.count))
    signal.addEventListener('abort', () => returned.unsubscribe(), { once: true })
    this.pools.start(signal)
  }

  /** Asks for as many more as requests want to go to a server, unless that was done a moment ago; `onChange` tells when there are some. */
  request ({ stated }: Backend, wanted: number): void {
    const now = this.opts.clock.readTime()
    const { permits } = stated
    const count = wanted - permits.count(now)
    if (count <= 0 || permits.isAsking || now < permits.askAgainAt) return
    permits.isAsking = true
    void this.ask(stated, count).finally(() => {
      permits.isAsking = false
      this.opts.onChange()
    })
  }

  /** Takes back what was taken for a request that was not sent. */
  giveBack ({ stated }: Backend, count: number): void {
    this.releaseToPool(stated, count)
  }

  private async ask (stated: StatedFacts, count: number): Promise<void> {
    const { clock, network } = this.opts
    const { life, limit } = stated
    const askedAt = clock.readTime()
    const request = { life, perSecond: limit.perSecond ?? MOST_PER_SECOND, count }
    const answer = await this.pools.ask(nameLife(life), {
      askSelf: () => this.takeOwn(request),
      askPeer: (owner) => network.call(owner, ASKED, request, ASK_MS),
    })
    const { granted, retryAfterMs } = answer ?? { granted: 0, retryAfterMs: MOST_PAUSE_MS }
    if (granted > 0) this.keep(stated, granted, askedAt + HOLD_MS)
    // Infinite while nobody brings to the pool; a part of what comes in this time is this instance's then.
    const expectedMs = Math.min(retryAfterMs, 1_000 / computePermitsPerSecond(request.perSecond))
    if (granted < count) this.pause(stated, expectedMs)
  }

  private keep (stated: StatedFacts, count: number, until: number): void {
    const { clock } = this.opts
    stated.permits.put(count, until)
    clock.setTimer(Math.max(0, until - clock.readTime()), () => {
      const overdue = stated.permits.dropOverdue(clock.readTime())
      if (overdue > 0) this.releaseToPool(stated, overdue)
    })
  }

  private pause ({ permits }: StatedFacts, expectedMs: number): void {
    const { clock, random, onChange } = this.opts
    const now = clock.readTime()
    const bounded = Math.min(MOST_PAUSE_MS, Math.max(LEAST_PAUSE_MS, expectedMs))
    const ms = bounded * (1 + random.readFraction() * PAUSE_SPREAD)
    permits.expectedAt = now + expectedMs
    permits.askAgainAt = now + ms
    clock.setTimer(ms, onChange)
  }

  private releaseToPool ({ life }: StatedFacts, count: number): void {
    const name = nameLife(life)
    const owner = this.pools.findOwner(name)
    if (owner === this.pools.self) this.pools.giveBack(name, count)
    else if (owner !== undefined) this.opts.network.send(owner, GIVEN_BACK, { life, count })
  }

  /** Takes rights out of the own pool, by the stricter of the limits that this instance and the asker know. */
  private takeOwn ({ life, perSecond, count }: PermitRequest): RateGrant {
    const known = this.opts.fleet.findLimit(life).perSecond ?? Infinity
    return this.pools.findPool(nameLife(life), createRate(Math.min(known, perSecond))).takeSome(count)
  }

  private listRates (): ReadonlyMap<string, PooledRate> {
    return new Map(this.opts.fleet.listLimited().map(({ life, statement }) => [nameLife(life), createRate(statement.perSecond ?? MOST_PER_SECOND)]))
  }
}

/** Requests a second that are sent to a server that names a limit. */
export function computePermitsPerSecond (limitPerSecond: number): number {
  return Math.min(MOST_PER_SECOND, Math.max(LEAST_PER_SECOND, limitPerSecond))
}

function createRate (limitPerSecond: number): PooledRate {
  return { ratePerSecond: computePermitsPerSecond(limitPerSecond), burst: BURST }
}
