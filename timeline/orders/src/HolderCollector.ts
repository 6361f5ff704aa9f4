import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { readNumber, readText, type LogLine } from '@pulleystack/timeline.story'
import type { HolderLine } from './OrderHistory.js'

/** Shorter delays of the event loop can't make an order outlast its permit. */
const MIN_DELAY_MS = 300
const LEASE_KINDS = new Set<string>([DecisionKinds.LEASE_TAKEN, DecisionKinds.LEASE_LOST, DecisionKinds.LEASE_HANDED_OVER])
const STATE_KINDS = new Set<string>([
  DecisionKinds.STARTED,
  DecisionKinds.STOPPING,
  DecisionKinds.PROCESS_ENDED,
  DecisionKinds.EVENT_LOOP_DELAYED,
  DecisionKinds.CUT_OFF,
  DecisionKinds.RECONNECTED,
])

/** Collects the changes of the lease holder, and what befell the instances that held the lease. */
export class HolderCollector {
  private readonly leaseLines: LogLine[] = []
  private readonly stateLines: LogLine[] = []
  /** By holder and fence: the lines of the instances that were told of it. */
  private readonly seenByTerm = new Map<string, LogLine[]>()

  add (line: LogLine): void {
    if (LEASE_KINDS.has(line.kind)) this.leaseLines.push(line)
    else if (line.kind === DecisionKinds.HOLDER_CHANGED) this.addSeen(line)
    else if (STATE_KINDS.has(line.kind) && (readNumber(line, 'ms') ?? Infinity) >= MIN_DELAY_MS) this.stateLines.push(line)
  }

  /** All lines, in the order of time. A holder whose own log is missing is listed as the first other instance saw it. */
  list (): HolderLine[] {
    const holders = new Set(this.leaseLines.map(({ instance }) => instance))
    const lines = [...this.leaseLines, ...this.listUnlogged(), ...this.stateLines.filter(({ instance }) => holders.has(instance))]
    return addFormer(lines.sort((a, b) => a.at - b.at)).map((line) => this.describe(line))
  }

  private addSeen (line: LogLine): void {
    const term = nameTerm(readText(line, 'holder'), readNumber(line, 'fence'))
    this.seenByTerm.set(term, [...this.seenByTerm.get(term) ?? [], line])
  }

  private listUnlogged (): LogLine[] {
    const taken = this.leaseLines.filter(({ kind }) => kind === DecisionKinds.LEASE_TAKEN)
    const logged = new Set(taken.map((line) => nameTerm(line.instance, readNumber(line, 'fence'))))
    return [...this.seenByTerm].flatMap(([term, lines]) => logged.has(term) ? [] : lines.toSorted((a, b) => a.at - b.at).slice(0, 1))
  }

  private describe (line: LogLine): HolderLine {
    const { at, instance, kind, fields } = line
    const fence = readNumber(line, 'fence')
    const isSeen = kind === DecisionKinds.HOLDER_CHANGED
    const seen = isSeen || kind === DecisionKinds.LEASE_TAKEN ? this.seenByTerm.get(nameTerm(isSeen ? readText(line, 'holder') : instance, fence)) : undefined
    return { at, instance, kind, fence, fields, seenBy: new Set(seen?.map((it) => it.instance)).size }
  }
}

/** Adds the instance that took the lease before, where a line doesn't name the former holder. */
function addFormer (lines: readonly LogLine[]): LogLine[] {
  let after: string | undefined
  return lines.map((line) => {
    if (line.kind !== DecisionKinds.LEASE_TAKEN) return line
    const fields = after === undefined || line.fields['former'] !== undefined ? line.fields : { ...line.fields, after }
    after = line.instance
    return { ...line, fields }
  })
}

function nameTerm (holder: string | undefined, fence: number | undefined): string {
  return `${holder}|${fence}`
}
