import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { nameLife, type Backend, type BackendFleet } from '@pulleystack/routing.fleet'
import type { ServerProbe } from '@pulleystack/routing.forward'
import { Verdicts, type Quarantine, type SuspectRun, type Verdict } from '@pulleystack/routing.quarantine'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { hashWork } from './hashRequest.js'
import type { RoutedWork } from './RoutedWork.js'

/** The run that has to end first takes a moment; by then it has ended one way or the other. */
const BUSY_RETRY_SECONDS = 0.5
/** A refused request is not tried again for a long time; callers that come back within a session come in vain. */
const REFUSED_RETRY_SECONDS = 600

const FREE_RUN: SuspectRun = { isOnly: false, release: () => undefined }

export interface SuspectGateOptions {
  clock: Clock
  log: DecisionLog
  fleet: BackendFleet
  probe: ServerProbe
  quarantine: Quarantine
}

/** One attempt whose connection broke. */
export interface BrokenAttempt {
  backend: Backend
  run: SuspectRun
  send: number
  /** Monotone time. */
  sentAt: number
}

/** Keeps requests from servers under which servers have ended before, and finds out under which they end. */
export class SuspectGate {
  constructor (private readonly opts: SuspectGateOptions) {}

  /**
   * The right to send the request to a server, and how it has to be placed; rejects with `ran: no` when it may not be sent. Waits while another run of a
   * suspect is under way that has to end first.
   */
  async admit (work: RoutedWork): Promise<SuspectRun> {
    const { quarantine, clock } = this.opts
    const verdict = this.judge(work)
    work.isSuspect = verdict !== Verdicts.FREE
    work.mustBeApart = verdict === Verdicts.ALONE
    if (verdict === Verdicts.FREE && quarantine.isLoaded) return FREE_RUN
    const run = await quarantine.acquire(this.readIdentity(work), Math.max(0, work.deadline - clock.readTime()), work.signal)
    if (!run) throw this.createRefusal(work)
    return run
  }

  /** Whether the request has become a suspect after it was let in as one that is none. */
  hasChanged (work: RoutedWork): boolean {
    return !work.isSuspect && this.judge(work) !== Verdicts.FREE
  }

  /** Finds out whether the server ended under the request, or only broke that connection. */
  async noteBroken (work: RoutedWork, { backend, run, send, sentAt }: BrokenAttempt): Promise<void> {
    const { clock, log, probe, quarantine } = this.opts
    const sentMs = Math.round(clock.readTime() - sentAt)
    if (!this.isExpectedToStay(backend) || !await probe.hasEnded(backend.entry.address)) return
    const identity = this.readIdentity(work)
    quarantine.noteServerEnd(identity, { life: nameLife(backend.entry), wasOnlyRun: run.isOnly })
    const facts = { request: work.requestId, identity, backend: backend.id, address: backend.entry.address }
    log.record(DecisionKinds.SERVER_ENDED, { ...facts, send, sentMs, events: work.stream.events, ends: quarantine.listEnds(identity).length })
  }

  /** A server has run the request to its end. */
  noteServed (work: RoutedWork): void {
    if (this.opts.quarantine.size > 0) this.opts.quarantine.noteGoodEnd(this.readIdentity(work))
  }

  /** The refusal of a request that is judged anew while it waits; undefined when it may go on. */
  findRefusal (work: RoutedWork, identity: string): PulleystackError | undefined {
    if (this.readIdentity(work) !== identity || this.judge(work) !== Verdicts.REFUSED) return undefined
    return this.createRefusal(work)
  }

  /** Identities that are judged anew. */
  get changes (): Quarantine['changes'] {
    return this.opts.quarantine.changes
  }

  // Nothing is hashed while no request is remembered: until a server ends, and from an hour after the last end on.
  private judge (work: RoutedWork): Verdict {
    return this.opts.quarantine.size === 0 ? Verdicts.FREE : this.opts.quarantine.judge(this.readIdentity(work))
  }

  private readIdentity (work: RoutedWork): string {
    work.identity ??= hashWork(work)
    return work.identity
  }

  /** What was told to leave, or has left the list, ends by plan and takes along what it still runs. */
  private isExpectedToStay (backend: Backend): boolean {
    return !backend.entry.draining && this.opts.fleet.find(backend.id) === backend
  }

  private createRefusal (work: RoutedWork): PulleystackError {
    const identity = this.readIdentity(work)
    const verdict = this.judge(work)
    const ends = this.opts.quarantine.listEnds(identity).length
    this.opts.log.record(DecisionKinds.SUSPECT_REFUSED, { request: work.requestId, identity, ends, verdict })
    const retryAfterSeconds = verdict === Verdicts.REFUSED ? REFUSED_RETRY_SECONDS : BUSY_RETRY_SECONDS
    const message = `${ends} backend servers ended while they ran this request`
    return new PulleystackError('REQUEST_ENDS_SERVERS', message, { ran: Ran.NO, retryAfterSeconds })
  }
}
