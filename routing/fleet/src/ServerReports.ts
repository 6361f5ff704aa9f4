import type { ResponseFacts, ServerStatus } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { Backend } from './Backend.js'
import type { BackendFleet } from './BackendFleet.js'
import type { PeerLimit } from './shareLimits.js'

/** Where a server's status report was received. */
export const ReportSources = {
  REQUEST: 'request',
  ORDER: 'order',
  REPORT: 'report',
  PEER: 'peer',
} as const
export type ReportSource = typeof ReportSources[keyof typeof ReportSources]

/** Unreadable reports come with every response, so they are logged at this interval. */
const LOG_INTERVAL_MS = 5_000

/** The request to which a response belongs. */
export interface SentRequest {
  requestId: string
  /** Monotonic time in milliseconds. */
  sentAt: number
}

export interface ServerReportsOptions {
  clock: Clock
  log: DecisionLog
  fleet: BackendFleet
}

/** Processes the status that backend servers report in their responses. */
export class ServerReports {
  private unreadableCount = 0
  private unreadableLoggedAt = -Infinity

  constructor (private readonly opts: ServerReportsOptions) {}

  /** Processes the headers of a response. A response without a limit means that there is none, unless it may stem from another server or request. */
  applyResponse (backend: Backend, { serverStatus, requestId, misdirected }: ResponseFacts, request: SentRequest): void {
    const isVerified = requestId === request.requestId && !misdirected
    const reportedAfter = isVerified ? request.sentAt : -Infinity
    if (serverStatus) this.apply(backend, serverStatus, ReportSources.REQUEST, reportedAfter)
    else if (isVerified) this.applyLimit(backend, undefined, ReportSources.REQUEST, reportedAfter)
  }

  /**
   * Applies a status report from the server's address, unless it names another server. `reportedAfter` is the monotonic time in milliseconds after which the
   * report was certainly made.
   */
  apply (backend: Backend, serverStatus: ServerStatus, source: ReportSource, reportedAfter = -Infinity): void {
    const { serverId, leaving, retryAfterMs, hasLimit, limitPerSecond, brittleTolerance, invalidHeader } = serverStatus
    if (serverId !== undefined && serverId !== backend.id) return
    if (invalidHeader !== undefined) this.recordUnreadable(backend, invalidHeader)
    if (limitPerSecond !== undefined || (!hasLimit && reportedAfter > -Infinity)) this.applyLimit(backend, limitPerSecond, source, reportedAfter)
    if (brittleTolerance !== undefined) this.applyBrittleness(backend, brittleTolerance, source)
    const { fleet, clock } = this.opts
    const isNewlyDraining = leaving && fleet.recordDraining(backend)
    const isBackoffExtended = retryAfterMs !== undefined && fleet.recordRetryAfter(backend, retryAfterMs, clock.readTime())
    if (!isNewlyDraining && !isBackoffExtended) return
    this.opts.log.record(DecisionKinds.BACKEND_STATED, { ...describeBackend(backend), source, leaving, retryAfterMs })
  }

  /** Logs a limit that a server reported to a peer. */
  recordPeerLimit ({ incarnation, from, perSecond }: PeerLimit): void {
    const address = this.opts.fleet.find(incarnation.id)?.entry.address
    this.opts.log.record(DecisionKinds.LIMIT_CHANGED, { backend: incarnation.id, address, source: ReportSources.PEER, peer: from, limitPerSecond: perSecond })
  }

  private applyLimit (backend: Backend, perSecond: number | undefined, source: ReportSource, reportedAfter: number): void {
    const report = { perSecond, reportedAfter, reportedBefore: this.opts.clock.readTime() }
    if (!this.opts.fleet.recordLimit(backend, report)) return
    this.opts.log.record(DecisionKinds.LIMIT_CHANGED, { ...describeBackend(backend), source, limitPerSecond: perSecond })
  }

  private applyBrittleness (backend: Backend, tolerance: number, source: ReportSource): void {
    const { fleet, clock, log } = this.opts
    const { service } = backend.entry
    if (!fleet.brittle.record(service, tolerance, clock.readTime())) return
    log.record(DecisionKinds.SERVICE_BRITTLE, { service, backend: backend.id, source, tolerance })
    fleet.announceLoadChange()
  }

  private recordUnreadable ({ id }: Backend, value: string): void {
    this.unreadableCount++
    const now = this.opts.clock.readTime()
    if (now - this.unreadableLoggedAt < LOG_INTERVAL_MS) return
    this.unreadableLoggedAt = now
    this.opts.log.record(DecisionKinds.STATEMENT_UNREADABLE, { backend: id, value, count: this.unreadableCount })
    this.unreadableCount = 0
  }
}

function describeBackend ({ id, entry }: Backend): { backend: string, address: string } {
  return { backend: id, address: entry.address }
}
