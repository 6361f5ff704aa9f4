import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { readNumber, type LogLine, type LogReader } from '@pulleystack/timeline.story'
import { CopyCollector } from './CopyCollector.js'
import { HolderCollector } from './HolderCollector.js'
import type { OrderHistory } from './OrderHistory.js'

const LINES_DROPPED = 'lines-dropped'

/** Joins the logs of all instances to one history of orders and lease holders. The lines of one instance have to be added in the order of its log. */
export class OrderCollector implements LogReader {
  private readonly copies = new CopyCollector()
  private readonly holders = new HolderCollector()
  private droppedLines = 0

  /** Collects the orders to all servers, or to one. */
  constructor (private readonly backend?: string) {}

  add (line: LogLine): void {
    if (line.kind === DecisionKinds.ORDER_SENT) this.addSent(line)
    else if (line.kind === DecisionKinds.ORDER_UNANSWERED) this.copies.addUnanswered(line)
    else if (line.kind === DecisionKinds.ORDER_SETTLED) this.copies.addSettled(line)
    else if (line.kind === LINES_DROPPED) this.droppedLines += readNumber(line, 'dropped') ?? 0
    else this.holders.add(line)
  }

  private addSent (line: LogLine): void {
    if (this.backend === undefined || line.fields['backend'] === this.backend) this.copies.addSent(line)
  }

  recordSkipped (): void {
    // Logs may begin and end with other text.
  }

  build (): OrderHistory {
    const servers = [...this.copies.listByServer()].map(([backend, copies]) => ({ backend, copies }))
    return { servers: servers.sort((a, b) => a.backend < b.backend ? -1 : 1), holders: this.holders.list(), droppedLines: this.droppedLines }
  }
}
