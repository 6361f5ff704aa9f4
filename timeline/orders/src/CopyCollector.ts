import { readNumber, readText, type LogLine } from '@pulleystack/timeline.story'
import type { OrderCopy } from './OrderHistory.js'

/** Collects the copies of orders of all instances. The lines of one instance have to be added in the order in which it wrote them. */
export class CopyCollector {
  private readonly copies: OrderCopy[] = []
  private readonly copyById = new Map<string, OrderCopy>()
  /** By instance and order, for logs without ids. */
  private readonly openByContent = new Map<string, OrderCopy>()

  addSent (line: LogLine): void {
    const backend = readText(line, 'backend')
    const fence = readNumber(line, 'fence')
    if (backend === undefined || fence === undefined) return
    const copy = buildCopy(line, backend, fence)
    this.copies.push(copy)
    if (copy.id === undefined) this.openByContent.set(nameContent(line), copy)
    else this.copyById.set(copy.id, copy)
  }

  addUnanswered (line: LogLine): void {
    const copy = this.findCopy(line)
    if (!copy) return
    const { written } = line.fields
    copy.unanswered = {
      at: line.at,
      ms: readNumber(line, 'ms') ?? line.at - copy.sentAt,
      reason: readText(line, 'reason') ?? '',
      written: typeof written === 'boolean' ? written : undefined,
    }
  }

  addSettled (line: LogLine): void {
    const copy = this.findCopy(line)
    if (copy) copy.settled = { at: line.at, answer: readText(line, 'answer') ?? '', copies: readNumber(line, 'copies'), ms: readNumber(line, 'ms') }
    this.openByContent.delete(nameContent(line))
  }

  /** All copies, by server and in the order of time. */
  listByServer (): Map<string, OrderCopy[]> {
    const byServer = new Map<string, OrderCopy[]>()
    for (const copy of [...this.copies].sort((a, b) => a.sentAt - b.sentAt)) {
      const known = byServer.get(copy.backend)
      if (known) known.push(copy)
      else byServer.set(copy.backend, [copy])
    }
    return byServer
  }

  private findCopy (line: LogLine): OrderCopy | undefined {
    const id = readText(line, 'order')
    return id === undefined ? this.openByContent.get(nameContent(line)) : this.copyById.get(id)
  }
}

function buildCopy (line: LogLine, backend: string, fence: number): OrderCopy {
  return {
    id: readText(line, 'order'),
    copy: readNumber(line, 'copy') ?? 1,
    holder: line.instance,
    backend,
    action: readText(line, 'action') ?? '',
    model: readText(line, 'model') ?? '',
    adapter: readText(line, 'adapter'),
    sequence: readNumber(line, 'sequence'),
    fence,
    origin: readText(line, 'origin'),
    permitMs: readNumber(line, 'permitMs'),
    sentAt: line.at,
    unanswered: undefined,
    settled: undefined,
  }
}

function nameContent (line: LogLine): string {
  return JSON.stringify([line.instance, ...['backend', 'action', 'model', 'adapter'].map((name) => readText(line, name))])
}
