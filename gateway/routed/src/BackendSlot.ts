import type { Clock } from '@pulleystack/core.clock'
import type { Backend, BackendChoice, RampUpRequest } from '@pulleystack/routing.fleet'
import type { PaceSample } from '@pulleystack/routing.pace'
import type { ServedTimes } from './SlotForecast.js'
import { buildPrefillSample } from './buildPaceSample.js'
import type { SlotReservation } from './SlotReservation.js'
import { Suspicions, type RoutedWork } from './RoutedWork.js'

/** State changes of a slot. */
export const SlotChanges = {
  ACQUIRED: 'acquired',
  /** A server that ramps up after a pause may accept more requests. */
  RAMPING: 'ramping',
  /** The server has processed the prompt. */
  PREFILLED: 'prefilled',
  /** The owner of a brittle server's ledger granted the slot, so that it may grant more. */
  GRANTED: 'granted',
  RELEASED: 'released',
  /** The slot is released without having been used, as the server has no room. */
  DENIED: 'denied',
  /** The slot is released without having used its permit for a rate-limited server. */
  UNSENT: 'unsent',
} as const
export type SlotChange = typeof SlotChanges[keyof typeof SlotChanges]

/** A slot for one request at one backend server; must be released. */
export class BackendSlot {
  private readonly acquiredAt: number
  private pendingPrefillTokens: number
  private isReleased = false
  private readonly rampUp: RampUpRequest
  private prefilledAt: number | undefined
  private suspectCount: number
  private sentAt: number | undefined
  private heldReservation: SlotReservation | undefined
  /** Whether the slot is one of those that the server's reservation window bounds. */
  private isInWindow = false
  private paceSample: PaceSample | undefined
  /** Whether the slot holds a permit that has not been used. */
  private hasPermit: boolean

  constructor (
    readonly choice: BackendChoice,
    private readonly work: RoutedWork,
    private readonly clock: Clock,
    private readonly onChange: (change: SlotChange) => void,
  ) {
    this.acquiredAt = clock.readTime()
    this.suspectCount = work.suspicion === undefined ? 0 : 1
    this.pendingPrefillTokens = Math.max(0, (work.generation?.promptTokens ?? 0) - choice.cachedTokens)
    const { ownLoad: own } = choice.backend
    own.running++
    own.prefillTokens += this.pendingPrefillTokens
    own.cacheTokens += this.cacheTokens
    own.suspects += this.suspectCount
    const { backoff, limit, permits } = choice.backend.reported
    this.rampUp = backoff.takeAllowance()
    this.hasPermit = limit.perSecond !== undefined && permits.take(this.acquiredAt)
    onChange(SlotChanges.ACQUIRED)
  }

  get backend (): Backend {
    return this.choice.backend
  }

  /** Counts the slot as asked for until its reservation is put, or it is released. */
  beginReservation (): void {
    this.isInWindow = true
    this.backend.reservationWindow.begin()
  }

  /** Holds the reservation until the slot is released. */
  putReservation (reservation: SlotReservation): void {
    this.heldReservation = reservation
    if (this.leaveWindow(true)) this.onChange(SlotChanges.GRANTED)
  }

  private leaveWindow (isGranted: boolean | undefined): boolean {
    if (!this.isInWindow) return false
    this.isInWindow = false
    this.backend.reservationWindow.end(isGranted)
    return true
  }

  get reservation (): SlotReservation | undefined {
    return this.heldReservation
  }

  /** Milliseconds from sending the request until the server had processed the prompt; undefined before. */
  get firstEventMs (): number | undefined {
    return this.sentAt === undefined || this.prefilledAt === undefined ? undefined : this.prefilledAt - this.sentAt
  }

  /** Records what the complete stream showed of the server's pace. */
  recordPace (sample: PaceSample | undefined): void {
    this.paceSample = sample
  }

  /** Marks the permit as used: the request may reach the server from now on. */
  recordSent (): void {
    this.hasPermit = false
    this.sentAt = this.clock.readTime()
  }

  /** Records that the server accepted the request, which raises the ramp-up allowance after a pause. */
  recordResponse (): void {
    if (this.rampUp.recordResponse()) this.onChange(SlotChanges.RAMPING)
  }

  /** Records that the server has processed the prompt. */
  recordPrefilled (): void {
    if (this.prefilledAt === undefined) {
      this.prefilledAt = this.clock.readTime()
      this.heldReservation?.recordRead(buildPrefillSample(this, this.work))
    }
    if (this.work.suspicion === Suspicions.UNTIL_BEGUN) this.releaseSuspect()
    this.releasePrefill()
  }

  /** Undefined until the prompt has been processed. */
  readTimes (): ServedTimes | undefined {
    if (this.prefilledAt === undefined) return undefined
    return { heldMs: this.clock.readTime() - this.acquiredAt, firstOutputMs: this.prefilledAt - this.acquiredAt }
  }

  private releasePrefill (): void {
    if (this.pendingPrefillTokens === 0) return
    this.backend.ownLoad.prefillTokens -= this.pendingPrefillTokens
    this.pendingPrefillTokens = 0
    this.onChange(SlotChanges.PREFILLED)
  }

  release (change: typeof SlotChanges.RELEASED | typeof SlotChanges.DENIED = SlotChanges.RELEASED): void {
    if (this.isReleased) return
    this.isReleased = true
    this.leaveWindow(change === SlotChanges.DENIED ? false : undefined)
    this.releasePrefill()
    this.backend.ownLoad.running--
    this.backend.ownLoad.cacheTokens -= this.cacheTokens
    this.releaseSuspect()
    this.rampUp.end()
    this.heldReservation?.release(this.paceSample)
    if (this.hasPermit) this.onChange(SlotChanges.UNSENT)
    this.onChange(change)
  }

  private releaseSuspect (): void {
    this.backend.ownLoad.suspects -= this.suspectCount
    this.suspectCount = 0
  }

  private get cacheTokens (): number {
    const { generation } = this.work
    return generation ? generation.promptTokens + generation.outputTokens : 0
  }
}
