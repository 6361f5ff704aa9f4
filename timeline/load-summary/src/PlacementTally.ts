import { readNumber, readText, type LogLine } from '@pulleystack/timeline.story'
import { computePercentile } from './computePercentile.js'
import type { LoadFigures, OrderFigures } from './LoadSummary.js'
import { TallyMap } from './TallyMap.js'

/** Collects planned loads and the answers to orders. */
export class PlacementTally {
  private readonly loads = new TallyMap((): LogLine[] => [])
  private readonly orders = new TallyMap(() => ({ sent: 0, answers: new TallyMap(() => ({ count: 0 })) }))

  recordPlanned (line: LogLine): void {
    this.loads.get(line.fields['fromStore'] === true ? 'store' : 'server').push(line)
  }

  recordSent (line: LogLine): void {
    this.orders.get(readText(line, 'action') ?? '').sent++
  }

  recordSettled (line: LogLine): void {
    this.orders.get(readText(line, 'action') ?? '').answers.get(readText(line, 'answer') ?? '').count++
  }

  listLoads (): LoadFigures[] {
    return this.loads.list().map(([source, lines]) => buildLoadFigures(source as LoadFigures['source'], lines)).sort((a, b) => b.loads - a.loads)
  }

  listOrders (): OrderFigures[] {
    const rows = this.orders.list().flatMap(([action, { sent, answers }]): OrderFigures[] => {
      const answered = answers.list().map(([answer, { count }]) => ({ action, answer, count }))
      const open = sent - answered.reduce((sum, { count }) => sum + count, 0)
      return open > 0 ? [...answered, { action, answer: 'open', count: open }] : answered
    })
    return rows.sort((a, b) => b.count - a.count)
  }
}

function buildLoadFigures (source: LoadFigures['source'], lines: readonly LogLine[]): LoadFigures {
  const listNumbers = (name: string): number[] => lines.flatMap((line) => readNumber(line, name) ?? [])
  const copies = listNumbers('copies')
  const inFlight = listNumbers('places')
  return {
    source,
    loads: lines.length,
    models: new Set(lines.map((line) => line.fields['model'])).size,
    victims: lines.reduce((sum, { fields }) => sum + (Array.isArray(fields['victims']) ? fields['victims'].length : 0), 0),
    withoutCopy: copies.filter((count) => count === 0).length,
    copies50: computePercentile(copies, 0.5),
    copies90: computePercentile(copies, 0.9),
    inFlight50: computePercentile(inFlight, 0.5),
    inFlight90: computePercentile(inFlight, 0.9),
    requestsPerSecond50: computePercentile(listNumbers('requestsPerSecond'), 0.5),
  }
}
