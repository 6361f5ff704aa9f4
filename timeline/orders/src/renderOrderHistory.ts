import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { ConflictKinds, findConflicts, type ConflictBounds, type ConflictKind, type OrderConflict } from './findConflicts.js'
import type { HolderLine, OrderCopy, OrderHistory, ServerHistory } from './OrderHistory.js'

/** Simulated times count from the start of a day, others from 1970. */
const FIRST_WALL_TIME_MS = 1e11
const OFFSET_WIDTH = 8

/** A server with the conflicts among its orders. */
interface CheckedServer extends ServerHistory {
  conflicts: readonly OrderConflict[]
}

/** Renders the history as text: the changes of the holder, the orders of each server with marks at conflicts, and how many conflicts there are. */
export function renderOrderHistory (history: OrderHistory, bounds: ConflictBounds): string {
  const servers = history.servers.map((server) => ({ ...server, conflicts: findConflicts(server.copies, bounds) }))
  const startAt = findStart(history)
  return [
    describeStart(startAt),
    'holders',
    ...history.holders.map((line) => renderHolderLine(line, startAt)),
    ...servers.flatMap((server) => renderServer(server, startAt, bounds)),
    ...history.droppedLines > 0 ? [`${history.droppedLines} lines are missing in the logs`] : [],
    `conclusion: ${describeConclusion(history, servers, startAt)}`,
  ].join('\n')
}

/** Time from which offsets are counted: the first line, or the zero of simulated time. */
function findStart ({ servers, holders }: OrderHistory): number {
  const firstAt = [...servers.flatMap(({ copies }) => copies[0]?.sentAt ?? []), ...holders.map(({ at }) => at)].reduce((a, b) => Math.min(a, b), Infinity)
  return Number.isFinite(firstAt) && firstAt >= FIRST_WALL_TIME_MS ? firstAt : 0
}

function describeStart (startAt: number): string {
  return `times are milliseconds ${startAt === 0 ? 'of simulated time' : `since ${new Date(startAt).toISOString()}, by the clock of each instance`}`
}

function renderHolderLine ({ at, instance, kind, fields, seenBy }: HolderLine, startAt: number): string {
  const facts = Object.entries(fields).filter(([name, value]) => name !== 'instance' && value !== null).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  const isChange = kind === DecisionKinds.LEASE_TAKEN || kind === DecisionKinds.HOLDER_CHANGED
  return [renderOffset(at, startAt), ' ', instance, kind, ...facts, ...isChange ? [`seenBy=${seenBy}`] : []].join(' ')
}

function renderServer ({ backend, copies, conflicts }: CheckedServer, startAt: number, bounds: ConflictBounds): string[] {
  const marked = new Set(conflicts.map(({ copy }) => copy))
  const rows = copies.flatMap((copy) => {
    if (!marked.has(copy)) return [renderCopy(copy, ' ', startAt)]
    const ofCopy = conflicts.filter((conflict) => conflict.copy === copy)
    return [renderCopy(copy, '!', startAt), ...ofCopy.map((conflict) => renderConflict(conflict, startAt, bounds))]
  })
  return [`server ${backend}`, ...rows]
}

function renderCopy (order: OrderCopy, mark: '!' | ' ', startAt: number): string {
  const { holder, id, action, model, adapter, fence, origin, permitMs, sequence } = order
  const copy = id === undefined ? undefined : order.copy
  const facts = Object.entries({ fence, origin, permitMs: roundMs(permitMs), sequence, copy, order: id }).filter(([, value]) => value !== undefined)
  const text = [renderOffset(order.sentAt, startAt), mark, holder, action, nameWeights(model, adapter), ...facts.map(([name, value]) => `${name}=${value}`)].join(' ')
  return `${text}: ${describeEnd(order, startAt)}`
}

function nameWeights (model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

function describeEnd ({ sentAt, unanswered, settled }: OrderCopy, startAt: number): string {
  const parts: string[] = []
  if (unanswered) parts.push(`no answer after ${roundMs(unanswered.ms)} ms (${describeWritten(unanswered.written)}${unanswered.reason})`)
  if (settled) {
    const copies = settled.copies !== undefined && settled.copies > 1 ? ` with ${settled.copies} copies` : ''
    parts.push(`${settled.answer} at ${roundMs(settled.at - startAt)}, after ${roundMs(settled.ms ?? settled.at - sentAt)} ms${copies}`)
  }
  return parts.length > 0 ? parts.join('; ') : 'its end is not logged'
}

function describeWritten (written: boolean | undefined): string {
  if (written === undefined) return ''
  return written ? 'written; ' : 'nothing was written; '
}

function renderConflict ({ kind, copy, earlier }: OrderConflict, startAt: number, { gapMs, travelMs }: ConflictBounds): string {
  const latest = earlier.at(-1) as OrderCopy
  const order = `the order of ${latest.holder} at ${roundMs(latest.sentAt - startAt)} (fence ${latest.fence})`
  const reasons: Record<ConflictKind, string> = {
    [ConflictKinds.TOO_CLOSE]: `${roundMs(copy.sentAt - latest.sentAt)} ms after ${order}, ${gapMs} ms are the least`,
    [ConflictKinds.LOWER_FENCE]: `fence ${copy.fence} after ${order}`,
    [ConflictKinds.SHARED_FENCE]: `fence ${copy.fence} is also that of ${order}`,
    [ConflictKinds.LATE_ARRIVAL]: `${order} got no answer and may arrive until ${roundMs(latest.sentAt + travelMs - startAt)}${describeFate(copy, earlier)}`,
  }
  return `${' '.repeat(OFFSET_WIDTH)}    ! ${kind}: ${reasons[kind]}`
}

/** A server takes an order only if it names the sequence number that the server has; `copy` names the one that its sender had just read. */
function describeFate (copy: OrderCopy, earlier: readonly OrderCopy[]): string {
  const further = earlier.length === 1 ? '' : `, ${earlier.length - 1} more before it`
  const numbers = earlier.map(({ sequence }) => sequence)
  const isPast = copy.sequence !== undefined && numbers.every((number) => number !== undefined && number < (copy.sequence as number))
  return further + (isPast ? '; the server is past their sequence numbers and would refuse them' : '')
}

function describeConclusion ({ servers }: OrderHistory, checked: readonly CheckedServer[], startAt: number): string {
  const copies = servers.flatMap((server) => server.copies)
  const holders = new Set(copies.map(({ holder }) => holder))
  const conflicts = checked.flatMap((server) => server.conflicts)
  const counts = Object.values(ConflictKinds).map((kind) => describeCount(kind, conflicts.filter((conflict) => conflict.kind === kind), startAt))
  return `${holders.size} holders sent ${copies.length} orders to ${servers.length} servers; ${counts.join('; ')}`
}

function describeCount (kind: ConflictKind, conflicts: readonly OrderConflict[], startAt: number): string {
  const [first] = conflicts.toSorted((a, b) => a.copy.sentAt - b.copy.sentAt)
  return first ? `${kind}: ${conflicts.length}, first at ${roundMs(first.copy.sentAt - startAt)} to ${first.copy.backend}` : `${kind}: 0`
}

function renderOffset (at: number, startAt: number): string {
  return `${`${roundMs(at - startAt)}`.padStart(OFFSET_WIDTH)} ms`
}

function roundMs (ms: number): number
function roundMs (ms: number | undefined): number | undefined
function roundMs (ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms)
}
