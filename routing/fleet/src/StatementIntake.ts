import type { AnswerFacts, ServerStatement } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { Backend } from './Backend.js'
import type { BackendFleet } from './BackendFleet.js'
import type { LimitNews } from './shareLimits.js'

/** Where a statement of a server was heard. */
export const StatementSources = {
  REQUEST: 'request',
  ORDER: 'order',
  REPORT: 'report',
  PEER: 'peer',
} as const
export type StatementSource = typeof StatementSources[keyof typeof StatementSources]

/** A server that says something unreadable says it in each of its answers; so often a line tells of it. */
const LINE_EVERY_MS = 5_000

/** The request that an answer belongs to. */
export interface AnsweredRequest {
  requestId: string
  /** Monotone time of its sending. */
  sentAt: number
}

export interface StatementIntakeOptions {
  clock: Clock
  log: DecisionLog
  fleet: BackendFleet
}

/** Takes what backend servers say of themselves in their answers. */
export class StatementIntake {
  private unreadableCount = 0
  private unreadableToldAt = -Infinity

  constructor (private readonly opts: StatementIntakeOptions) {}

  /** Takes the head of an answer to a request. One that names no limit says that there is none, unless it may be of another server or request. */
  takeAnswer (backend: Backend, { statement, requestId, misdirected }: AnswerFacts, request: AnsweredRequest): void {
    const isSurelyMeant = requestId === request.requestId && !misdirected
    const saidAfter = isSurelyMeant ? request.sentAt : -Infinity
    if (statement) this.take(backend, statement, StatementSources.REQUEST, saidAfter)
    else if (isSurelyMeant) this.takeLimit(backend, undefined, StatementSources.REQUEST, saidAfter)
  }

  /**
   * Takes a statement that came from where the server should be; one of another server there says nothing of it. `saidAfter`: monotone time after which it
   * was surely made.
   */
  take (backend: Backend, statement: ServerStatement, source: StatementSource, saidAfter = -Infinity): void {
    const { serverId, leaving, retryAfterMs, namesLimit, limitPerSecond, unreadable } = statement
    if (serverId !== undefined && serverId !== backend.id) return
    if (unreadable !== undefined) this.noteUnreadable(backend, unreadable)
    if (limitPerSecond !== undefined || (!namesLimit && saidAfter > -Infinity)) this.takeLimit(backend, limitPerSecond, source, saidAfter)
    const { fleet, clock } = this.opts
    const isNews = leaving && fleet.noteLeaving(backend)
    const isRestNews = retryAfterMs !== undefined && fleet.noteRetryAfter(backend, retryAfterMs, clock.readTime())
    if (!isNews && !isRestNews) return
    this.opts.log.record(DecisionKinds.BACKEND_STATED, { ...describeBackend(backend), source, leaving, retryAfterMs })
  }

  /** A server told a peer of another limit than was known. */
  noteTold ({ life, from, perSecond }: LimitNews): void {
    const address = this.opts.fleet.find(life.id)?.entry.address
    this.opts.log.record(DecisionKinds.LIMIT_CHANGED, { backend: life.id, address, source: StatementSources.PEER, peer: from, limitPerSecond: perSecond })
  }

  private takeLimit (backend: Backend, perSecond: number | undefined, source: StatementSource, saidAfter: number): void {
    const statement = { perSecond, saidAfter, saidBefore: this.opts.clock.readTime() }
    if (!this.opts.fleet.noteLimit(backend, statement)) return
    this.opts.log.record(DecisionKinds.LIMIT_CHANGED, { ...describeBackend(backend), source, limitPerSecond: perSecond })
  }

  private noteUnreadable ({ id }: Backend, value: string): void {
    this.unreadableCount++
    const now = this.opts.clock.readTime()
    if (now - this.unreadableToldAt < LINE_EVERY_MS) return
    this.unreadableToldAt = now
    this.opts.log.record(DecisionKinds.STATEMENT_UNREADABLE, { backend: id, value, count: this.unreadableCount })
    this.unreadableCount = 0
  }
}

function describeBackend ({ id, entry }: Backend): { backend: string, address: string } {
  return { backend: id, address: entry.address }
}
