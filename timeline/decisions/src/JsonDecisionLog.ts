import type { Writable } from 'node:stream'
import bunyan from 'bunyan'
import type { DecisionFacts } from './DecisionFacts.js'
import { DecisionLog, type DecisionKind } from './DecisionLog.js'

const MAX_BUFFERED_BYTES = 256 * 1024

export interface JsonDecisionLogOptions {
  instance: string
  /** Where the lines go. */
  output: Writable
  /** Bytes that may wait for a slow reader before lines are dropped. */
  maxBufferedBytes?: number
}

/** Writes JSON lines. While the reader is too slow, lines are dropped and counted; the count is logged once it reads again. */
export class JsonDecisionLog extends DecisionLog {
  private readonly logger: bunyan
  private droppedCount = 0
  private unreported = 0

  constructor (private readonly opts: JsonDecisionLogOptions) {
    super()
    this.logger = bunyan.createLogger({ name: opts.instance, streams: [{ stream: opts.output, level: 'info' }] })
    opts.output.on('error', () => undefined)
  }

  /** Lines dropped since the start. */
  get dropped (): number {
    return this.droppedCount
  }

  record<Kind extends DecisionKind> (kind: Kind, fields: DecisionFacts[Kind]): void {
    if (this.opts.output.writableLength > (this.opts.maxBufferedBytes ?? MAX_BUFFERED_BYTES)) {
      this.droppedCount++
      this.unreported++
      return
    }
    if (this.unreported > 0) {
      this.logger.warn({ dropped: this.unreported }, 'lines-dropped')
      this.unreported = 0
    }
    this.logger.info(fields, kind)
  }
}
