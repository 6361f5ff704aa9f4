import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { formatIncarnation, type Backend, type BackendFleet, type ServerIncarnation, type ReportedStatus } from '@pulleystack/routing.fleet'
import { RatePools, type LimitsMembership, type PooledRate, type RateGrant, type TimeContribution } from '@pulleystack/routing.limits'

/** Requests permits from the owner of a server's pool; `perSecond` is the limit that the requesting instance knows. */
interface PermitRequest {
  life: ServerIncarnation
  perSecond: number
  count: number
}

const TIME_CONTRIBUTIONS = defineChannel<TimeContribution>('permits.earned')
const ACQUIRE = defineChannel<PermitRequest, RateGrant>('permits.asked')
const UNUSED_PERMITS = defineChannel<{ life: ServerIncarnation, count: number }>('permits.given-back', { isOneShot: true })

const OWNER_TIMEOUT_MS = 250
/** Permits not used within this time are returned to the pool; otherwise they would be lost to others, or be used beside ones granted much later. */
const PERMIT_TTL_MS = 400
/** Bounds of the pause between requests after an owner granted less than requested. */
const MIN_PAUSE_MS = 50
const MAX_PAUSE_MS = 500
/** Share of the pause that is added at random, so that instances don't send requests at the same time. */
const PAUSE_JITTER = 0.25
/** At a lower rate, too few requests would be sent to notice that the limit was lifted; the platform tolerates the excess. */
const MIN_PER_SECOND = 0.25
const MAX_PER_SECOND = 1_000_000
/** Requests that may be sent at once after an idle period. */
const BURST = 1
/** An instance on standby lends its time for this long after the last notice of a limit; active limits are announced twice in this period. */
const LEND_DURATION_MS = 75_000
/** The window in which the platform counts requests; the tolerance compensates for lost time contributions. */
const BOUNDS = { windowMs: 4_000, toleranceShare: 0.2, toleranceUnits: 0 }

export interface ServerPermitsOptions {
  clock: Clock
  random: RandomSource
  network: PeerNetwork
  membership: LimitsMembership
  fleet: BackendFleet
  /** Called when more requests may be sent to a server, or permits may be requested again. */
  onChange: () => void
}

/**
 * Permits for sending requests to servers that advertise a rate limit. Each limit is enforced by one pool at an owner instance, from which the other
 * instances request permits. Permits may be requested in advance, so that a request that can use other servers never waits for one.
 */
export class ServerPermits {
  private readonly pools: RatePools

  constructor (private readonly opts: ServerPermitsOptions) {
    this.pools = new RatePools({
      ...opts,
      bounds: BOUNDS,
      contributions: TIME_CONTRIBUTIONS,
      namespace: 'permits',
      listRates: () => this.listRates(),
      mustLend: () => opts.clock.readTime() - opts.fleet.peerLimitsReceivedAt < LEND_DURATION_MS,
    })
  }

  /** Starts responding to peers and contributing this instance's time; stops when the signal aborts. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(ACQUIRE, (_, request) => this.takeLocally(request))
    const subscription = network.receive(UNUSED_PERMITS).subscribe(({ body }) => this.pools.release(formatIncarnation(body.life), body.count))
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
    this.pools.start(signal)
  }

  /** Requests the permits that are missing for `wanted` requests, unless a request is pending or paused; `onChange` is called afterwards. */
  request ({ reported }: Backend, wanted: number): void {
    const now = this.opts.clock.readTime()
    const { permits } = reported
    const count = wanted - permits.count(now)
    if (count <= 0 || permits.hasPendingRequest || now < permits.nextRequestAt) return
    permits.hasPendingRequest = true
    void this.askOwner(reported, count).finally(() => {
      permits.hasPendingRequest = false
      this.opts.onChange()
    })
  }

  /** Returns permits of requests that were not sent. */
  release ({ reported }: Backend, count: number): void {
    this.releaseToPool(reported, count)
  }

  private async askOwner (reported: ReportedStatus, count: number): Promise<void> {
    const { clock, network } = this.opts
    const { incarnation, limit } = reported
    const requestedAt = clock.readTime()
    const request = { life: incarnation, perSecond: limit.perSecond ?? MAX_PER_SECOND, count }
    const answer = await this.pools.callOwner(formatIncarnation(incarnation), {
      runLocally: () => this.takeLocally(request),
      callPeer: (owner) => network.call(owner, ACQUIRE, request, OWNER_TIMEOUT_MS),
    })
    const { granted, retryAfterMs } = answer ?? { granted: 0, retryAfterMs: MAX_PAUSE_MS }
    if (granted > 0) this.hold(reported, granted, requestedAt + PERMIT_TTL_MS)
    // `retryAfterMs` may be practically infinite while no instance contributes to the pool.
    const expectedMs = Math.min(retryAfterMs, 1_000 / computePermitsPerSecond(request.perSecond))
    if (granted < count) this.pause(reported, expectedMs)
  }

  private hold (reported: ReportedStatus, count: number, expiresAt: number): void {
    const { clock } = this.opts
    reported.permits.put(count, expiresAt)
    clock.setTimer(Math.max(0, expiresAt - clock.readTime()), () => {
      const expired = reported.permits.dropExpired(clock.readTime())
      if (expired > 0) this.releaseToPool(reported, expired)
    })
  }

  private pause ({ permits }: ReportedStatus, expectedMs: number): void {
    const { clock, random, onChange } = this.opts
    const now = clock.readTime()
    const boundedMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, expectedMs))
    const ms = boundedMs * (1 + random.readFraction() * PAUSE_JITTER)
    permits.nextExpectedAt = now + expectedMs
    permits.nextRequestAt = now + ms
    clock.setTimer(ms, onChange)
  }

  private releaseToPool ({ incarnation }: ReportedStatus, count: number): void {
    const name = formatIncarnation(incarnation)
    const owner = this.pools.findOwner(name)
    if (owner === this.pools.self) this.pools.release(name, count)
    else if (owner !== undefined) this.opts.network.send(owner, UNUSED_PERMITS, { life: incarnation, count })
  }

  /** Takes permits from this instance's pool, using the stricter of the limits known here and by the requesting instance. */
  private takeLocally ({ life: incarnation, perSecond, count }: PermitRequest): RateGrant {
    const knownLimit = this.opts.fleet.findLimit(incarnation).perSecond ?? Infinity
    return this.pools.findPool(formatIncarnation(incarnation), createRate(Math.min(knownLimit, perSecond))).takeUpTo(count)
  }

  private listRates (): ReadonlyMap<string, PooledRate> {
    return new Map(this.opts.fleet.listLimits().map(
      ({ incarnation, report }) => [formatIncarnation(incarnation), createRate(report.perSecond ?? MAX_PER_SECOND)],
    ))
  }
}

/** Number of permits per second for a server with this limit. */
export function computePermitsPerSecond (limitPerSecond: number): number {
  return Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, limitPerSecond))
}

function createRate (limitPerSecond: number): PooledRate {
  return { ratePerSecond: computePermitsPerSecond(limitPerSecond), burst: BURST }
}
