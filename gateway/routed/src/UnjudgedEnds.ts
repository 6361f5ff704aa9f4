import type { Clock } from '@pulleystack/core.clock'
import { PathVerdicts, type Backend, type BackendFleet } from '@pulleystack/routing.fleet'
import type { PathChecker } from '@pulleystack/routing.paths'

/** Time after which nothing more is found out about a lost connection. */
const MAX_AGE_MS = 10_000
const MAX_ENDS = 1_024

/** A connection that was lost while no server was reached, so that either the server or only the path to it may be gone. */
export interface UnjudgedEnd {
  backend: Backend
  /** Monotonic time in milliseconds. */
  lostAt: number
  /** Called if the server has crashed. */
  onCrashed: () => void
}

/** Judges lost connections again once this instance reaches a server. */
export class UnjudgedEnds {
  private pending: UnjudgedEnd[] = []

  constructor (private readonly opts: { clock: Clock, fleet: BackendFleet, paths: PathChecker }) {
    opts.fleet.contacts.changes.subscribe(({ isCutOff }) => {
      if (!isCutOff) this.judgeAll()
    })
  }

  /** Keeps a lost connection; beyond a limit, the oldest ones are dropped. */
  add (end: UnjudgedEnd): void {
    this.pending = [...this.pending, end].slice(-MAX_ENDS)
  }

  private judgeAll (): void {
    const oldestAllowed = this.opts.clock.readTime() - MAX_AGE_MS
    const ends = this.pending.filter(({ lostAt }) => lostAt >= oldestAllowed)
    this.pending = []
    for (const end of ends) void this.judge(end)
  }

  private async judge (end: UnjudgedEnd): Promise<void> {
    const { fleet, paths } = this.opts
    // A server without an entry that was not drained has crashed.
    const isGone = fleet.find(end.backend.id) !== end.backend
    const verdict = isGone ? PathVerdicts.SERVER_DOWN : await paths.inspect(end.backend)
    if (verdict === PathVerdicts.SERVER_DOWN) end.onCrashed()
    else if (verdict === PathVerdicts.UNKNOWN) this.add(end)
  }
}
