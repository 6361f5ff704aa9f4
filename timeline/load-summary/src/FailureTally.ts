import { readNumber, readText, type LogLine } from '@pulleystack/timeline.story'
import { computePercentile } from './computePercentile.js'
import type { FailureFigures } from './LoadSummary.js'

/** Words with digits are ids, durations and addresses; a row for each would not show how often a reason occurs. */
const VARIABLE_WORD = /[\w.:-]*\d[\w.:-]*/g

interface EndedAlike {
  status: number
  code: string
  reason: string
  heldMs: number[]
}

/** Collects the requests that ended without success, by status, code and reason. */
export class FailureTally {
  private readonly failures = new Map<string, EndedAlike>()

  add (ended: LogLine): void {
    const status = readNumber(ended, 'status') ?? 0
    const code = readText(ended, 'code') ?? ''
    const reason = (readText(ended, 'reason') ?? '').replace(VARIABLE_WORD, '#')
    const key = JSON.stringify([status, code, reason])
    const alike = this.failures.get(key) ?? { status, code, reason, heldMs: [] }
    alike.heldMs.push(readNumber(ended, 'ms') ?? 0)
    this.failures.set(key, alike)
  }

  list (): FailureFigures[] {
    const rows = [...this.failures.values()].map(({ status, code, reason, heldMs }): FailureFigures => ({
      status,
      code,
      reason,
      count: heldMs.length,
      heldMs50: computePercentile(heldMs, 0.5),
      heldMs90: computePercentile(heldMs, 0.9),
      heldMsMax: computePercentile(heldMs, 1),
    }))
    return rows.sort((a, b) => b.count - a.count)
  }
}
