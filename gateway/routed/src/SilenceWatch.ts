import type { Clock } from '@pulleystack/core.clock'
import type { Observable, Subscription } from 'rxjs'
import type { RoutedWork } from './RoutedWork.js'

/** Silence before the first data after which another attempt is looked for, as a multiple of the route's latency target. */
const SILENCE_LATENCY_FACTOR = 2
const MIN_SILENCE_MS = 250
/** Silence within a stream after which another attempt is looked for, as a multiple of the longest pause that the route allows. */
const STALL_PAUSE_FACTOR = 3
const DEFAULT_PAUSE_MS = 400
/** Interval for checking whether another server can take over from a silent one. */
const RECHECK_INTERVAL_MS = 250

/** An attempt that begins beside another one. */
export interface Takeover {
  /** Whether the new attempt has begun, so that the silent one may end. Never rejects. */
  outcome: Promise<boolean>
  /** Ends the new attempt unless it has begun. */
  cancel: () => void
}

export interface SilenceOptions {
  /** Silence before the first data, in milliseconds, up to which the server's response isn't overdue; 0 if unknown. */
  overdueMs?: number
  /** Begins an attempt at another server; undefined if none may begin now. Required where silence is watched. */
  beginTakeover?: () => Takeover | undefined
  /** Called once when the response is overdue and the request stays with the server. */
  onOverdue?: () => void
  /** Called when a stream has paused for longer than its route allows, once for each pause. */
  onLongPause?: () => void
  /** Called with the milliseconds until the first data of the response. */
  onFirstData?: (ms: number) => void
  /** Emits when new connections to the server fail; a connection that is silent by then is likely lost too. */
  lostPath?: Observable<void>
}

/**
 * Looks for another attempt when the server of one is silent for too long. Until that has begun, the request stays with the silent server, which may be at
 * work on it.
 */
export class SilenceWatch {
  private readonly startedAt: number
  private lastActivityAt: number
  private hasData = false
  private isPaused = false
  private isStopped = false
  private isOverdue = false
  private limitMs: number
  private patienceMs: number
  private readonly longestPauseMs: number
  private reportedPauseAt: number | undefined
  private takeover: Takeover | undefined
  private losses: Subscription | undefined
  private cancelTimer = (): void => undefined

  /** `onReplaced` is called with the milliseconds of silence once another attempt has begun. */
  constructor (
    private readonly clock: Clock,
    private readonly work: RoutedWork,
    private readonly opts: SilenceOptions,
    private readonly onReplaced: (silentMs: number) => void,
  ) {
    const { route } = work
    this.startedAt = clock.readTime()
    this.lastActivityAt = this.startedAt
    this.limitMs = Math.max(MIN_SILENCE_MS, route.targetLatencyMs * SILENCE_LATENCY_FACTOR)
    this.patienceMs = opts.overdueMs ?? 0
    this.longestPauseMs = route.longestPauseMs ?? DEFAULT_PAUSE_MS
  }

  start (): void {
    if (this.isStopped) return
    this.check()
    this.losses = this.opts.lostPath?.subscribe(() => {
      this.cancelTimer()
      this.limitMs = MIN_SILENCE_MS
      this.patienceMs = 0
      this.check()
    })
  }

  recordActivity (): void {
    this.lastActivityAt = this.clock.readTime()
    if (!this.hasData) this.opts.onFirstData?.(this.lastActivityAt - this.startedAt)
    this.hasData = true
    this.patienceMs = 0
    this.limitMs = this.longestPauseMs * STALL_PAUSE_FACTOR
    this.takeover?.cancel()
  }

  setPaused (isPaused: boolean): void {
    this.isPaused = isPaused
    this.lastActivityAt = this.clock.readTime()
  }

  /** A takeover that is under way goes on. */
  stop (): void {
    this.isStopped = true
    this.cancelTimer()
    this.losses?.unsubscribe()
  }

  private check (): void {
    if (this.isStopped || this.takeover) return
    const silentMs = this.isPaused ? 0 : this.clock.readTime() - this.lastActivityAt
    this.reportPause(silentMs)
    const nextMs = silentMs < this.longestPauseMs ? Math.min(this.longestPauseMs, this.limitMs) : this.limitMs
    if (silentMs < nextMs) {
      this.schedule(nextMs - silentMs)
      return
    }
    const takeover = silentMs < this.patienceMs ? undefined : this.opts.beginTakeover?.()
    if (takeover) void this.waitForTakeover(takeover, silentMs)
    else this.waitAtServer(silentMs)
  }

  private reportPause (silentMs: number): void {
    if (this.work.stream.events === 0 || silentMs < this.longestPauseMs || this.reportedPauseAt === this.lastActivityAt) return
    this.reportedPauseAt = this.lastActivityAt
    this.opts.onLongPause?.()
  }

  private async waitForTakeover (takeover: Takeover, silentMs: number): Promise<void> {
    this.takeover = takeover
    const hasBegun = await takeover.outcome
    this.takeover = undefined
    if (this.isStopped) return
    if (!hasBegun) {
      this.waitAtServer(silentMs)
      return
    }
    this.stop()
    this.onReplaced(silentMs)
  }

  private waitAtServer (silentMs: number): void {
    const isOverdue = silentMs >= this.patienceMs
    if (!this.hasData && isOverdue && !this.isOverdue) this.opts.onOverdue?.()
    this.isOverdue ||= isOverdue
    this.schedule(RECHECK_INTERVAL_MS)
  }

  private schedule (ms: number): void {
    this.cancelTimer = this.clock.setTimer(ms, () => this.check())
  }
}
