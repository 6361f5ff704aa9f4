import type { CancelTimer, Clock } from '@pulleystack/core.clock'

/** One report per peer and second tells an operator enough and costs little, however many frames are left out. */
const REPORT_MS = 1_000

/** Frames to one peer that were left out. */
export interface UnsentReport {
  peer: string
  /** Frames since the report before. */
  frames: number
  /** Bytes that waited to leave when the newest of them was left out. */
  backlogBytes: number
}

/** Counts frames that were left out and reports them peer by peer. */
export class UnsentFrames {
  total = 0
  private readonly open = new Map<string, { report: UnsentReport, cancelTimer: CancelTimer }>()

  constructor (private readonly clock: Clock, private readonly onReport: (report: UnsentReport) => void) {}

  /** Counts one frame; its report follows within `REPORT_MS`. */
  note (peer: string, backlogBytes: number): void {
    this.total++
    const { report } = this.open.get(peer) ?? this.begin(peer)
    report.frames++
    report.backlogBytes = backlogBytes
  }

  /** Reports what has not been reported yet. */
  stop (): void {
    for (const peer of [...this.open.keys()]) this.report(peer)
  }

  private begin (peer: string): { report: UnsentReport } {
    const cancelTimer = this.clock.setTimer(REPORT_MS, () => this.report(peer))
    const begun = { report: { peer, frames: 0, backlogBytes: 0 }, cancelTimer }
    this.open.set(peer, begun)
    return begun
  }

  private report (peer: string): void {
    const ended = this.open.get(peer)
    if (!ended) return
    ended.cancelTimer()
    this.open.delete(peer)
    this.onReport(ended.report)
  }
}
