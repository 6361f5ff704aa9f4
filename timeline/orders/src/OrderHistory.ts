/** One sending of an order. Times are milliseconds on the clock of the holder that sent it. */
export interface OrderCopy {
  /** Request-Id at the server; undefined in logs without ids, where all copies of an order are one line. */
  id: string | undefined
  /** Which sending of the order it is, from 1. */
  copy: number
  holder: string
  backend: string
  action: string
  model: string
  adapter: string | undefined
  sequence: number | undefined
  fence: number
  /** How the holder acquired the lease. */
  origin: string | undefined
  /** Milliseconds for which orders could be sent without another renewal. */
  permitMs: number | undefined
  sentAt: number
  unanswered: UnansweredCopy | undefined
  /** Set at the last copy of an order. */
  settled: SettledOrder | undefined
}

/** A copy that was given up. */
export interface UnansweredCopy {
  at: number
  /** Since the copy was sent. */
  ms: number
  reason: string
  /** Whether anything of it was handed to a connection; undefined if the log doesn't tell. */
  written: boolean | undefined
}

/** Result of an order. */
export interface SettledOrder {
  at: number
  answer: string
  copies: number | undefined
  /** Since the first copy was sent. */
  ms: number | undefined
}

/** A log line about the lease, or about the state of an instance that held it. */
export interface HolderLine {
  at: number
  instance: string
  kind: string
  fence: number | undefined
  fields: Readonly<Record<string, unknown>>
  /** Other instances that logged the change. */
  seenBy: number
}

/** Orders and holders in the logs of all instances, in the order of time. */
export interface OrderHistory {
  servers: readonly ServerHistory[]
  holders: readonly HolderLine[]
  /** Lines that the logs lack because their reader was too slow. */
  droppedLines: number
}

export interface ServerHistory {
  backend: string
  copies: readonly OrderCopy[]
}

/** Whether the server can have received the copy. */
export function mayHaveArrived ({ unanswered }: OrderCopy): boolean {
  return unanswered?.written !== false
}

/** Whether the server can receive the copy after its sender has given it up, or has ended. */
export function mayArriveLate (copy: OrderCopy): boolean {
  return mayHaveArrived(copy) && !hasAnswer(copy)
}

function hasAnswer ({ id, unanswered, settled }: OrderCopy): boolean {
  if (unanswered || !settled) return false
  // Without ids, the answer is that to all copies.
  return id !== undefined || settled.answer !== 'uncertain'
}
