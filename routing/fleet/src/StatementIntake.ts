import type { ServerStatement } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { Backend } from './Backend.js'
import type { BackendFleet } from './BackendFleet.js'

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

  /** Takes a statement that came from where the server should be; one of another server there says nothing of it. */
  take (backend: Backend, statement: ServerStatement, source: StatementSource): void {
    const { serverId, leaving, retryAfterMs, unreadable } = statement
    if (serverId !== undefined && serverId !== backend.id) return
    if (unreadable !== undefined) this.noteUnreadable(backend, unreadable)
    const { fleet, clock } = this.opts
    const isNews = leaving && fleet.noteLeaving(backend)
    const isRestNews = retryAfterMs !== undefined && fleet.noteRetryAfter(backend, retryAfterMs, clock.readTime())
    if (!isNews && !isRestNews) return
    this.opts.log.record(DecisionKinds.BACKEND_STATED, { backend: backend.id, address: backend.entry.address, source, leaving, retryAfterMs })
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
