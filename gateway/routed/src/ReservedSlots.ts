import type { Policy } from '@pulleystack/config.settings'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { ChoiceFailures, type LoadTally } from '@pulleystack/routing.fleet'
import { DenialReasons, type ReservationAnswer, type ReservationRequest } from '@pulleystack/routing.reservations'
import type { BackendQueue } from './BackendQueue.js'
import { SlotChanges, type BackendSlot } from './BackendSlot.js'
import type { RoutedWork } from './RoutedWork.js'
import type { ReservationClient } from './SlotReservation.js'
import { mustReserve } from './mustReserve.js'

/** Bounds of the time for which a denial keeps requests from a server; the owner's estimate may be off by a slow spell. */
const MIN_DENIAL_MS = 5
const MAX_DENIAL_MS = 500
/** After this time, the silent owner of a brittle server's ledger is asked again. */
const SILENT_OWNER_RETRY_MS = 100

type Denial = Extract<ReservationAnswer, { granted: false }>

export interface ReservedSlotsOptions {
  clock: Clock
  queue: BackendQueue
  /** Undefined where no reservations are made. */
  reservations: ReservationClient | undefined
  policy: Policy
  /** This instance's part of a server's slots, such that the parts of all instances add up to them. */
  computeOwnSlots: (server: string, slots: number) => number
  /** Prefix of the ids of this instance's reservations; unique to this run of the process. */
  instance: string
}

/** Acquires slots from the queue and, for heterogeneous services, reserves their room with the owner of the server's ledger. */
export class ReservedSlots {
  private lastId = 0

  constructor (private readonly opts: ReservedSlotsOptions) {}

  /** Resolves with a slot whose room is reserved, or whose owner didn't answer; rejects, always with `ran: no`, as the queue does. */
  async acquire (work: RoutedWork): Promise<BackendSlot> {
    const { queue } = this.opts
    let slot = await queue.acquire(work)
    while (!await this.reserve(slot, work)) slot = await queue.acquire(work, { isRepeated: true })
    return slot
  }

  /** Acquires a slot at a server other than that of `current`; undefined if none is free, or its owner denies the room. */
  async acquireElsewhere (work: RoutedWork, current: BackendSlot): Promise<BackendSlot | undefined> {
    const slot = this.opts.queue.acquireElsewhere(work, current)
    return slot && await this.reserve(slot, work) ? slot : undefined
  }

  /** Reserves the room of the slot where that is needed; releases the slot if it is denied. */
  private async reserve (slot: BackendSlot, work: RoutedWork): Promise<boolean> {
    const { queue, reservations, policy } = this.opts
    if (!reservations || !mustReserve(work, policy, queue.isBrittle(work))) return true
    const request = this.buildRequest(slot, work)
    const { roomCount } = slot.backend
    const ownerAnswer = await reservations.reserve(request)
    const answer = ownerAnswer ?? this.judgeAlone(slot, work, reservations)
    const isDenied = answer?.granted === false
    // A reservation that its owner didn't answer counts as running until it is released.
    if (isDenied && !ownerAnswer) reservations.release(request.server, request.id)
    if (!isDenied) this.putReservation(slot, request, answer?.load, reservations)
    if (work.signal.aborted) {
      slot.release()
      throw new PulleystackError('CALLER_GONE', 'The client closed the connection while room was reserved', { ran: Ran.NO })
    }
    if (!isDenied) {
      queue.recordPrefix(slot.choice, work)
      return true
    }
    // The room of which this instance was told meanwhile may have become free after the denial, and is offered to no other.
    if (slot.backend.roomCount === roomCount) this.recordDenial(slot, work, answer)
    slot.release(SlotChanges.DENIED)
    return false
  }

  /**
   * Decides on a brittle server without its owner's answer: an owner that answers others may grant them all slots, and only where there is none, this instance
   * keeps to its part of them. Undefined at any other server.
   */
  private judgeAlone ({ backend }: BackendSlot, work: RoutedWork, client: ReservationClient): ReservationAnswer | undefined {
    const { queue, computeOwnSlots } = this.opts
    if (!queue.isBrittle(work)) return undefined
    const load = backend.readLoad()
    const ownSlots = client.hasOwner(backend.reported.incarnation) ? 0 : computeOwnSlots(backend.id, backend.entry.slots)
    if (backend.ownLoad.running <= ownSlots) return { granted: true, load }
    return { granted: false, reason: DenialReasons.FULL, retryAfterMs: SILENT_OWNER_RETRY_MS, load }
  }

  private buildRequest (slot: BackendSlot, work: RoutedWork): ReservationRequest {
    const now = this.opts.clock.readTime()
    const { generation, route, team, service, priority } = work
    this.lastId++
    return {
      server: slot.backend.reported.incarnation,
      service: service.name,
      id: `${this.opts.instance}/${this.lastId}`,
      readTokens: Math.max(0, (generation?.promptTokens ?? 0) - slot.choice.cachedTokens),
      promptTokens: generation?.promptTokens ?? 0,
      cacheTokens: (generation?.promptTokens ?? 0) + (generation?.outputTokens ?? 0),
      priority,
      ...team && { team: team.name },
      ...route.longestPauseMs !== undefined && { longestPauseMs: route.longestPauseMs },
      leftMs: work.deadline - now,
      dueMs: work.firstTriedAt + route.targetLatencyMs - now,
    }
  }

  private putReservation (slot: BackendSlot, { server, id }: ReservationRequest, load: LoadTally | undefined, client: ReservationClient): void {
    slot.putReservation({
      load,
      recordRead: (sample) => client.recordRead(server, id, sample),
      release: (sample) => client.release(server, id, sample),
    })
  }

  /** A full server is full for all requests of this instance; places kept for others concern this request only. */
  private recordDenial ({ backend }: BackendSlot, work: RoutedWork, { reason, retryAfterMs }: Denial): void {
    const { clock, queue } = this.opts
    const now = clock.readTime()
    const ms = Math.min(MAX_DENIAL_MS, Math.max(MIN_DENIAL_MS, retryAfterMs))
    if (reason === DenialReasons.FULL) backend.recordDenial(ChoiceFailures.FULL, now + ms, now)
    else if (reason === DenialReasons.READING) backend.recordDenial(ChoiceFailures.PREFILLING, now + ms, now)
    else work.deniedUntil.set(backend.id, now + ms)
    queue.schedulePass(ms)
  }
}
