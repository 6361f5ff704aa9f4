import type { Clock } from '@pulleystack/core.clock'

/** Durations as shares of the lease time. */
const LeaseShares = {
  HOLDER_TICK: 1 / 15,
  OTHER_TICK: 1 / 6,
  RENEW: 0.27,
  HEARTBEAT: 0.2,
  PLAN: 1 / 15,
  DEMAND: 0.15,
  /** Timeout after the holder's last heartbeat; no live holder is known then. */
  HOLDER_SILENT: 0.65,
  ACQUIRE: 1 / 6,
  /** Time after an outage in which the holder may still renew the lease. */
  AFTER_OUTAGE: 0.5,
  /** Interval of grant requests during an outage; a fraction of a grant's validity. */
  ASK_GRANTS: 0.1,
  /** Maximum time that a planned stop waits for an outage to end. */
  STOP_LATEST: 2.5,
  /** Time after a handover in which the former holder doesn't acquire the lease again; it may have restarted without a record of its orders. */
  STAND_BACK: 7.5,
  /** Time for which a holder must have reached no server before it hands over. */
  CUT_OFF: 0.2,
} as const

type LeaseDuration = keyof typeof LeaseShares
type LeaseTask = Extract<LeaseDuration, 'RENEW' | 'HEARTBEAT' | 'PLAN' | 'DEMAND' | 'ACQUIRE' | 'ASK_GRANTS'>

/** Durations of a lease, and when its repeated tasks are due. */
export class LeaseSchedule {
  /** Monotonic times in milliseconds. */
  private readonly lastRunAt = new Map<LeaseTask, number>()

  constructor (private readonly clock: Clock, private readonly leaseMs: number) {}

  /** Milliseconds. */
  readDuration (name: LeaseDuration): number {
    return LeaseShares[name] * this.leaseMs
  }

  /** Returns whether the task is due; if so, its next interval begins. */
  takeDue (task: LeaseTask): boolean {
    const now = this.clock.readTime()
    if (now - (this.lastRunAt.get(task) ?? -Infinity) < this.readDuration(task)) return false
    this.lastRunAt.set(task, now)
    return true
  }
}
