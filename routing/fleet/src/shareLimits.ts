import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { ServerIncarnation } from './BackendEntry.js'
import type { BackendFleet, IncarnationLimit } from './BackendFleet.js'

/** A limit that a server reported to the sender. */
interface LimitItem {
  life: ServerIncarnation
  perSecond: number | undefined
  /** Monotonic time of the sender in milliseconds after which it was reported; undefined if unknown. */
  saidAfter: number | undefined
  /** Minimum age of the report in milliseconds at the time of sending. */
  ageMs: number
}

const LIMITS = defineChannel<LimitItem[]>('fleet.limits', { isOneShot: true })
/**
 * A raised or removed limit is announced again after these delays: an instance that received the former limit a moment later can't tell from the first
 * announcement which of them is newer.
 */
const REPEAT_DELAYS_MS = [500, 1_000, 2_000]
/** Standby instances receive no responses of servers, so they are sent the limits in force at this interval. */
const STANDBY_INTERVAL_MS = 30_000

/** A limit reported to a peer. */
export interface PeerLimit {
  incarnation: ServerIncarnation
  from: string
  perSecond: number | undefined
}

export interface ShareLimitsOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  /** Linked standby instances, which are linked to few serving instances and forward nothing. */
  listStandby: () => readonly string[]
  /** Called when a report from a peer changed a limit. */
  onPeerLimit: (limit: PeerLimit) => void
}

/** Announces the limits that servers report to this instance to the other instances, and applies their announcements. */
export function shareLimits (opts: ShareLimitsOptions, signal: AbortSignal): void {
  const { clock, network, fleet, listStandby } = opts
  const timers = new Set<() => void>()
  const buildNow = (limit: IncarnationLimit): LimitItem => buildItem(limit, clock.readTime())
  const buildCurrent = (incarnation: ServerIncarnation): LimitItem => buildNow({ incarnation, report: fleet.findLimit(incarnation) })
  const announce = (incarnation: ServerIncarnation): void => {
    network.broadcast(LIMITS, [buildCurrent(incarnation)])
  }
  const sendAllTo = (instances: readonly string[]): void => {
    const limited = fleet.listLimits()
    if (limited.length === 0) return
    for (const instance of instances) network.send(instance, LIMITS, limited.map(buildNow))
  }
  const runStandbyUpdates = async (): Promise<void> => {
    while (!signal.aborted) {
      await clock.wait(STANDBY_INTERVAL_MS, signal)
      sendAllTo(listStandby())
    }
  }
  keepRunning({ task: 'limits for standby instances', clock, signal, run: runStandbyUpdates })
  const announceLater = (incarnation: ServerIncarnation, ms: number): void => {
    const cancel = clock.setTimer(ms, () => {
      timers.delete(cancel)
      announce(incarnation)
    })
    timers.add(cancel)
  }
  const subscriptions = [
    fleet.limitChanges.subscribe(({ incarnation, isLocal, isRaised }) => {
      if (!isLocal) {
        for (const instance of listStandby()) network.send(instance, LIMITS, [buildCurrent(incarnation)])
        return
      }
      announce(incarnation)
      if (isRaised) REPEAT_DELAYS_MS.forEach((ms) => announceLater(incarnation, ms))
    }),
    network.receive(LIMITS).subscribe(({ from, body }) => {
      const limits = parseItems(body)
      if (limits.some(({ perSecond }) => perSecond !== undefined)) fleet.peerLimitsReceivedAt = clock.readTime()
      for (const limit of limits) applyLimit(opts, from, limit)
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard' && event.isNewLink) sendAllTo([event.identity.instance])
    }),
  ]
  signal.addEventListener('abort', () => {
    timers.forEach((cancel) => cancel())
    subscriptions.forEach((it) => it.unsubscribe())
  }, { once: true })
}

function buildItem ({ incarnation, report: { perSecond, reportedAfter, reportedBefore } }: IncarnationLimit, now: number): LimitItem {
  return { life: incarnation, perSecond, saidAfter: Number.isFinite(reportedAfter) ? reportedAfter : undefined, ageMs: now - reportedBefore }
}

function applyLimit (
  { clock, network, fleet, onPeerLimit }: ShareLimitsOptions,
  from: string,
  { life: incarnation, perSecond, saidAfter, ageMs }: LimitItem,
): void {
  const localReportedAfter = saidAfter === undefined ? undefined : network.convertTime(from, saidAfter)
  const report = { perSecond, reportedAfter: localReportedAfter ?? -Infinity, reportedBefore: clock.readTime() - ageMs, receivedBy: from }
  if (fleet.applyLimitFromPeer(incarnation, report)) onPeerLimit({ incarnation, from, perSecond })
}

/** Skips invalid items, which a peer of another version may send. */
function parseItems (body: unknown): LimitItem[] {
  return Array.isArray(body) ? body.filter(isLimitItem) : []
}

function isLimitItem (item: unknown): item is LimitItem {
  const { life: incarnation, perSecond, saidAfter, ageMs } = (item ?? {}) as Partial<Record<keyof LimitItem, unknown>>
  const { id, startedAt } = (incarnation ?? {}) as Partial<Record<keyof ServerIncarnation, unknown>>
  return typeof id === 'string' && [startedAt, perSecond, saidAfter].every(isOptionalNumber) && typeof ageMs === 'number' && ageMs >= 0
}

function isOptionalNumber (value: unknown): boolean {
  return value === undefined || (typeof value === 'number' && !Number.isNaN(value))
}
