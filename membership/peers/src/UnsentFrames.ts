import type { CancelTimer, Clock } from '@pulleystack/core.clock'

/** Limits reports to one per peer and second. */
const REPORT_INTERVAL_MS = 1_000

/** Frames to one peer that were not sent because of a backlog. */
export interface UnsentReport {
  peer: string
  /** Frames since the previous report. */
  frames: number
  /** Bytes queued on the link when the latest frame was not sent. */
  backlogBytes: number
}

/** Counts frames that were not sent and reports them per peer. */
export class UnsentFrames {
  total = 0
  private readonly pending = new Map<string, { report: UnsentReport, cancelTimer: CancelTimer }>()

  constructor (private readonly clock: Clock, private readonly onReport: (report: UnsentReport) => void) {}

  /** Counts one frame; it is reported within `REPORT_INTERVAL_MS`. */
  record (peer: string, backlogBytes: number): void {
    this.total++
    const { report } = this.pending.get(peer) ?? this.startReport(peer)
    report.frames++
    report.backlogBytes = backlogBytes
  }

  /** Sends all pending reports. */
  stop (): void {
    for (const peer of [...this.pending.keys()]) this.report(peer)
  }

  private startReport (peer: string): { report: UnsentReport } {
    const cancelTimer = this.clock.setTimer(REPORT_INTERVAL_MS, () => this.report(peer))
    const entry = { report: { peer, frames: 0, backlogBytes: 0 }, cancelTimer }
    this.pending.set(peer, entry)
    return entry
  }

  private report (peer: string): void {
    const entry = this.pending.get(peer)
    if (!entry) return
    entry.cancelTimer()
    this.pending.delete(peer)
    this.onReport(entry.report)
  }
}
