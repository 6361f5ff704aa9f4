import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { ServerLife } from './BackendEntry.js'
import type { BackendFleet, ServerLimit } from './BackendFleet.js'

/** What a server said of its limit to the sender. */
interface ToldLimit {
  life: ServerLife
  perSecond: number | undefined
  /** Monotone time of the sender's after which it was said; undefined when that isn't known. */
  saidAfter: number | undefined
  /** Milliseconds, at the sending, since when it had surely been said. */
  ageMs: number
}

const LIMITS = defineChannel<ToldLimit[]>('fleet.limits', { isOnce: true })
/**
 * A limit that is over, or higher, is told again after these times: an instance that heard the former one a moment later can't know by the first
 * message that it was said before.
 */
const REPEATS_MS = [500, 1_000, 2_000]
/** Instances on standby are told so often of the limits that stand, as they hear of nothing else by which they would know that those are over. */
const TELL_STANDBY_MS = 30_000

/** A limit of which a peer told. */
export interface LimitNews {
  life: ServerLife
  from: string
  perSecond: number | undefined
}

export interface ShareLimitsOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  /** Linked instances that stand by: they are linked to few of those that serve, and pass nothing on. */
  listStandby: () => readonly string[]
  /** A peer told of another limit than was known. */
  onNews: (told: LimitNews) => void
}

/** Tells the other instances at once what limits servers name to this one, and takes what they tell. */
export function shareLimits (opts: ShareLimitsOptions, signal: AbortSignal): void {
  const { clock, network, fleet, listStandby } = opts
  const timers = new Set<() => void>()
  const build = (named: ServerLimit): ToldLimit => buildTold(named, clock.readTime())
  const buildOf = (life: ServerLife): ToldLimit => build({ life, statement: fleet.findLimit(life) })
  const tell = (life: ServerLife): void => {
    network.broadcast(LIMITS, [buildOf(life)])
  }
  const tellAllTo = (instances: readonly string[]): void => {
    const limited = fleet.listLimited()
    if (limited.length === 0) return
    for (const instance of instances) network.send(instance, LIMITS, limited.map(build))
  }
  const keepTellingStandby = async (): Promise<void> => {
    while (!signal.aborted) {
      await clock.wait(TELL_STANDBY_MS, signal)
      tellAllTo(listStandby())
    }
  }
  void keepTellingStandby()
  const tellLater = (life: ServerLife, ms: number): void => {
    const cancel = clock.setTimer(ms, () => {
      timers.delete(cancel)
      tell(life)
    })
    timers.add(cancel)
  }
  const subscriptions = [
    fleet.limitChanges.subscribe(({ life, isOwn, isLoosened }) => {
      if (!isOwn) {
        for (const instance of listStandby()) network.send(instance, LIMITS, [buildOf(life)])
        return
      }
      tell(life)
      if (isLoosened) REPEATS_MS.forEach((ms) => tellLater(life, ms))
    }),
    network.receive(LIMITS).subscribe(({ from, body }) => {
      const limits = listTold(body)
      if (limits.some(({ perSecond }) => perSecond !== undefined)) fleet.limitsToldAt = clock.readTime()
      for (const told of limits) takeTold(opts, from, told)
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard' && event.isNewLink) tellAllTo([event.identity.instance])
    }),
  ]
  signal.addEventListener('abort', () => {
    timers.forEach((cancel) => cancel())
    subscriptions.forEach((it) => it.unsubscribe())
  }, { once: true })
}

function buildTold ({ life, statement: { perSecond, saidAfter, saidBefore } }: ServerLimit, now: number): ToldLimit {
  return { life, perSecond, saidAfter: Number.isFinite(saidAfter) ? saidAfter : undefined, ageMs: now - saidBefore }
}

function takeTold ({ clock, network, fleet, onNews }: ShareLimitsOptions, from: string, { life, perSecond, saidAfter, ageMs }: ToldLimit): void {
  const ownSaidAfter = saidAfter === undefined ? undefined : network.convertTime(from, saidAfter)
  const statement = { perSecond, saidAfter: ownSaidAfter ?? -Infinity, saidBefore: clock.readTime() - ageMs, heardBy: from }
  if (fleet.takeLimit(life, statement)) onNews({ life, from, perSecond })
}

/** What can be read of a message; a peer of another version may send what can't. */
function listTold (body: unknown): ToldLimit[] {
  return Array.isArray(body) ? body.filter(isTold) : []
}

function isTold (item: unknown): item is ToldLimit {
  const { life, perSecond, saidAfter, ageMs } = (item ?? {}) as Partial<Record<keyof ToldLimit, unknown>>
  const { id, startedAt } = (life ?? {}) as Partial<Record<keyof ServerLife, unknown>>
  return typeof id === 'string' && [startedAt, perSecond, saidAfter].every(isNumberOrNone) && typeof ageMs === 'number' && ageMs >= 0
}

function isNumberOrNone (value: unknown): boolean {
  return value === undefined || (typeof value === 'number' && !Number.isNaN(value))
}
