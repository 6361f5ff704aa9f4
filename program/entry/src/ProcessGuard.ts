import type { Clock } from '@pulleystack/core.clock'
import { reportTaskFailure, taskFailures, type TaskFailure } from '@pulleystack/core.tasks'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { config as rxjsConfig } from 'rxjs'

/** A failure that repeats is logged this often. */
const LOG_INTERVAL_MS = 1_000
/** Bounds memory. */
const MAX_KINDS = 100

export interface ProcessGuardOptions {
  clock: Clock
  /** The log may change once the settings are known. */
  readLog: () => DecisionLog
  /** The process, or a stand-in of it. */
  process: Pick<NodeJS.Process, 'on' | 'exit'>
}

/** Keeps the process running when an error is handled nowhere else, and logs why it ends when it does. */
export class ProcessGuard {
  private failureCount = 0
  /** Monotonic time at which each kind of failure was last logged. */
  private readonly loggedAt = new Map<string, number>()
  private exitReason = 'the event loop is empty'

  constructor (private readonly opts: ProcessGuardOptions) {}

  /** Number of errors that were handled nowhere else since the start. */
  get failures (): number {
    return this.failureCount
  }

  start (): void {
    const { process } = this.opts
    taskFailures.subscribe((failure) => this.recordFailure(failure))
    rxjsConfig.onUnhandledError = (error) => reportTaskFailure({ task: 'subscription', error })
    process.on('uncaughtException', (error) => reportTaskFailure({ task: 'event handler', error }))
    process.on('unhandledRejection', (error) => reportTaskFailure({ task: 'promise', error }))
    process.on('exit', (code) => this.opts.readLog().record(DecisionKinds.PROCESS_ENDED, { code, reason: this.exitReason }))
  }

  /** Ends the process. The last line of the log says why. */
  end (code: number, reason: string): void {
    this.exitReason = reason
    this.opts.process.exit(code)
  }

  private recordFailure ({ task, error }: TaskFailure): void {
    this.failureCount++
    const { message, stack } = error instanceof Error ? error : { message: String(error), stack: undefined }
    if (this.isDue(`${task}: ${message}`)) this.opts.readLog().record(DecisionKinds.TASK_FAILED, { task, reason: message, stack, failures: this.failureCount })
  }

  private isDue (kind: string): boolean {
    const now = this.opts.clock.readTime()
    if (now - (this.loggedAt.get(kind) ?? -Infinity) < LOG_INTERVAL_MS) return false
    if (this.loggedAt.size >= MAX_KINDS) this.loggedAt.clear()
    this.loggedAt.set(kind, now)
    return true
  }
}
