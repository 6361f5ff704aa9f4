import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { PathVerdicts, formatIncarnation, type Backend, type BackendFleet, type PathVerdict } from '@pulleystack/routing.fleet'
import type { PathChecker } from '@pulleystack/routing.paths'
import { Verdicts, type Quarantine, type RequestTraits, type SuspectRun, type Verdict } from '@pulleystack/routing.quarantine'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { listTraits } from './listTraits.js'
import { Suspicions, type RoutedWork } from './RoutedWork.js'
import { UnjudgedEnds } from './UnjudgedEnds.js'

/** Retry delay while an exclusive run of what is suspected is in progress. */
const BUSY_RETRY_SECONDS = 0.5
/** Retry delay of a request that is known to crash servers: what is suspected of it is tested again after a minute at the earliest. */
const REJECTED_RETRY_SECONDS = 60

const UNRESTRICTED_RUN: SuspectRun = { isExclusive: false, release: () => undefined }

export interface SuspectGateOptions {
  clock: Clock
  log: DecisionLog
  fleet: BackendFleet
  paths: PathChecker
  quarantine: Quarantine
}

/** An attempt whose connection was lost. */
export interface BrokenAttempt {
  backend: Backend
  run: SuspectRun
  send: number
  /** Monotonic time in milliseconds. */
  sentAt: number
  /** Events of this attempt. */
  events: number
}

/** Detects requests that crash backend servers, and restricts or rejects them. */
export class SuspectGate {
  private readonly unjudgedEnds: UnjudgedEnds

  constructor (private readonly opts: SuspectGateOptions) {
    this.unjudgedEnds = new UnjudgedEnds(opts)
  }

  /**
   * Admits one run of the request and sets on `work` how it has to be placed; rejects with `ran: no` when it may not run. Waits while another exclusive run
   * of what is suspected has to end first; rejects with the reason of `lostVersion` if that aborts meanwhile.
   */
  async admit (work: RoutedWork, lostVersion?: AbortSignal): Promise<SuspectRun> {
    const { quarantine, clock } = this.opts
    if (quarantine.size === 0 && quarantine.isLoaded) return UNRESTRICTED_RUN
    const signal = lostVersion ? AbortSignal.any([work.signal, lostVersion]) : work.signal
    const run = await quarantine.acquire(this.ensureTraits(work), Math.max(0, work.deadline - clock.readTime()), signal)
    this.updatePlacement(work, run)
    if (!run && lostVersion?.aborted) throw lostVersion.reason
    if (!run) throw this.createRejection(work)
    return run
  }

  /** Whether the request may not run any more as it was admitted, since servers have crashed meanwhile. */
  mustReadmit (work: RoutedWork, run: SuspectRun): boolean {
    const verdict = this.readVerdict(work)
    if (verdict === Verdicts.EXCLUSIVE) return !run.isExclusive
    return verdict === Verdicts.REJECTED || verdict === Verdicts.UNDECIDED
  }

  /**
   * Checks whether the server crashed, or only the connection or the path to it was lost; a crash counts against the request. Resolves with the verdict on
   * a server that is unreachable.
   */
  async checkServerEnd (work: RoutedWork, attempt: BrokenAttempt): Promise<PathVerdict | undefined> {
    const { clock, paths } = this.opts
    const { backend } = attempt
    const lostAt = clock.readTime()
    const wasExclusive = attempt.run.isExclusive
    if (!this.isExpectedToRun(backend)) return undefined
    const verdict = await paths.inspect(backend)
    const recordCrash = (): void => this.recordCrash(work, attempt, { wasExclusive, sentMs: lostAt - attempt.sentAt })
    if (verdict === PathVerdicts.SERVER_DOWN) recordCrash()
    else if (verdict === PathVerdicts.UNKNOWN) this.unjudgedEnds.add({ backend, lostAt, onCrashed: recordCrash })
    return verdict
  }

  private recordCrash (work: RoutedWork, attempt: BrokenAttempt, { wasExclusive, sentMs }: { wasExclusive: boolean, sentMs: number }): void {
    const { log, quarantine } = this.opts
    const { backend, send, sentAt, events } = attempt
    const traits = this.ensureTraits(work)
    quarantine.recordCrash(traits, { life: formatIncarnation(backend.entry), sentAt, hadBegun: events > 0, wasExclusive })
    log.record(DecisionKinds.SERVER_ENDED, {
      request: work.requestId,
      identity: traits.identity,
      backend: backend.id,
      address: backend.entry.address,
      send,
      sentMs: Math.round(sentMs),
      events,
      ends: quarantine.countCrashedServers(traits),
      shared: traits.shared.join(' '),
      exclusive: wasExclusive,
    })
  }

  /** Records that the server has begun to write the response to one run; the rest of it may crash the server only if the request is itself suspected. */
  recordBegun (work: RoutedWork, run: SuspectRun): void {
    const { quarantine } = this.opts
    if (quarantine.size > 0) quarantine.recordBegun(this.ensureTraits(work))
    if (work.suspicion === Suspicions.UNTIL_BEGUN) run.release()
  }

  /** Records that a server completed the request without crashing. */
  recordServed (work: RoutedWork): void {
    if (this.opts.quarantine.size > 0) this.opts.quarantine.recordServed(this.ensureTraits(work))
  }

  /** Returns the error for a queued request with one of these traits if it has been confirmed to crash servers; undefined otherwise. */
  findRejection (work: RoutedWork, traits: readonly string[]): PulleystackError | undefined {
    const { identity, shared } = this.ensureTraits(work)
    if (!traits.includes(identity) && !shared.some((trait) => traits.includes(trait))) return undefined
    return this.readVerdict(work) === Verdicts.REJECTED ? this.createRejection(work) : undefined
  }

  /** Emits traits by which requests may be judged differently from now on. */
  get changes (): Quarantine['changes'] {
    return this.opts.quarantine.changes
  }

  private updatePlacement (work: RoutedWork, run: SuspectRun | undefined): void {
    const verdict = this.readVerdict(work)
    const isAccused = verdict !== Verdicts.ALLOWED && this.opts.quarantine.isAccused(this.ensureTraits(work))
    work.mustAvoidSuspects = verdict === Verdicts.EXCLUSIVE || run?.isExclusive === true
    if (verdict === Verdicts.ALLOWED) delete work.suspicion
    else work.suspicion = isAccused ? Suspicions.UNTIL_SERVED : Suspicions.UNTIL_BEGUN
  }

  // Avoids hashing requests while no crash is on record.
  private readVerdict (work: RoutedWork): Verdict {
    return this.opts.quarantine.size === 0 ? Verdicts.ALLOWED : this.opts.quarantine.judge(this.ensureTraits(work))
  }

  private ensureTraits (work: RoutedWork): RequestTraits {
    work.traits ??= listTraits(work)
    return work.traits
  }

  /** A server that is draining or has been removed stops as planned, which says nothing about the request. */
  private isExpectedToRun (backend: Backend): boolean {
    return !backend.entry.draining && this.opts.fleet.find(backend.id) === backend
  }

  private createRejection (work: RoutedWork): PulleystackError {
    const traits = this.ensureTraits(work)
    const verdict = this.readVerdict(work)
    const ends = this.opts.quarantine.countCrashedServers(traits)
    this.opts.log.record(DecisionKinds.SUSPECT_REFUSED, { request: work.requestId, identity: traits.identity, ends, verdict })
    const retryAfterSeconds = verdict === Verdicts.REJECTED ? REJECTED_RETRY_SECONDS : BUSY_RETRY_SECONDS
    const message = `${ends} backend servers crashed while running this request or others that share parts with it`
    return new PulleystackError('REQUEST_ENDS_SERVERS', message, { ran: Ran.NO, retryAfterSeconds })
  }
}
