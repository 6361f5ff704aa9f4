const CONSECUTIVE_FAILURES = 5
const BASE_EJECTION_MS = 2_000
const MAX_EJECTION_MS = 60_000
const PANIC_THRESHOLD = 0.5

export interface OutlierOptions {
  /** Consecutive failures that eject. */
  failures?: number
  /** Duration of the first ejection, in milliseconds. */
  baseEjectionMs?: number
}

/** Ejects a backend server or peer after consecutive failures, for longer each time. */
export class OutlierDetector {
  private failures = 0
  private ejections = 0
  private ejectedUntil = 0
  private readonly maxFailures: number
  private readonly baseEjectionMs: number

  constructor ({ failures = CONSECUTIVE_FAILURES, baseEjectionMs = BASE_EJECTION_MS }: OutlierOptions = {}) {
    this.maxFailures = failures
    this.baseEjectionMs = baseEjectionMs
  }

  /** Counts a success; successes gradually cancel earlier ejections. */
  recordSuccess (): void {
    this.failures = 0
    if (this.ejections > 0) this.ejections -= 0.1
  }

  /** Counts a failure; returns true when it caused an ejection. */
  recordFailure (now: number, jitter: number): boolean {
    this.failures++
    if (this.failures < this.maxFailures || this.isEjected(now)) return false
    this.failures = 0
    this.ejections = Math.max(0, Math.ceil(this.ejections)) + 1
    const ms = Math.min(MAX_EJECTION_MS, this.baseEjectionMs * 2 ** (this.ejections - 1))
    this.ejectedUntil = now + ms * (0.75 + jitter / 2)
    return true
  }

  isEjected (now: number): boolean {
    return now < this.ejectedUntil
  }
}

/** A server that can be excluded from use. */
export interface Ejectable {
  readonly outlier: OutlierDetector
  /** Whether the server has stopped reporting. */
  isSilent: (now: number) => boolean
}

/** Returns the candidates that are neither ejected nor silent; all of them when more than half are, as the fault is then likely on this side. */
export function listUsable<T extends Ejectable> (candidates: readonly T[], now: number): T[] {
  const usable = candidates.filter((candidate) => !candidate.outlier.isEjected(now) && !candidate.isSilent(now))
  return usable.length >= candidates.length * (1 - PANIC_THRESHOLD) ? usable : [...candidates]
}
