import type { Writable } from 'node:stream'
import bunyan from 'bunyan'
import type { DecisionFacts } from './DecisionFacts.js'
import { DecisionLog, type DecisionKind } from './DecisionLog.js'

const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024

export interface JsonDecisionLogOptions {
  instance: string
  output: Writable
  /** Lines are dropped while more than this many bytes wait to be written. */
  maxBufferedBytes?: number
}

/** Writes JSON lines. Drops lines while the output is too slow, and logs the number of dropped lines once it catches up. */
export class JsonDecisionLog extends DecisionLog {
  private readonly logger: bunyan
  private droppedCount = 0
  private unreportedCount = 0

  constructor (private readonly opts: JsonDecisionLogOptions) {
    super()
    this.logger = bunyan.createLogger({ name: opts.instance, streams: [{ stream: opts.output, level: 'info' }] })
    opts.output.on('error', () => undefined)
  }

  /** Number of lines dropped since the start of the process. */
  get dropped (): number {
    return this.droppedCount
  }

  record<Kind extends DecisionKind> (kind: Kind, facts: DecisionFacts[Kind]): void {
    if (this.opts.output.writableLength > (this.opts.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES)) {
      this.droppedCount++
      this.unreportedCount++
      return
    }
    if (this.unreportedCount > 0) {
      this.logger.warn({ dropped: this.unreportedCount }, 'lines-dropped')
      this.unreportedCount = 0
    }
    this.logger.info(facts, kind)
  }
}
