import { PulleystackError } from '@pulleystack/core.errors'

const EMPTY = Buffer.alloc(0)
const LINE_FEED = 10
const CARRIAGE_RETURN = 13
/** Lines may also end with a carriage return alone. */
const BLANK_LINE_OF_RETURNS = Buffer.from('\r\r')
const ID_FIELD = /(?:^|[\r\n])id: ?([^\r\n]*)/

/** One server-sent event, with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer
  /** Undefined when the event has no id field. */
  id: string | undefined
  /** Holds no field, such as a comment sent as a heartbeat. */
  isEmpty: boolean
}

const ANY_FIELD = /(?:^|[\r\n])(?:id|data|event|retry)(?:[:\r\n]|$)/

/** Blank lines and comments, which belong to no event. */
const NO_EVENT = /^(?:[\r\n]|:[^\r\n]*[\r\n])*$/

/** Limit in bytes of an event that has not ended, which is kept in memory. */
export const MAX_PENDING_BYTES = 32 << 20

/** The longest end of an event, LF CR LF, may lack its last byte at the end of a chunk. */
const MAX_SPLIT_BYTES = 2

/** Splits a stream of server-sent events; an event ends with its blank line. */
export class EventSplitter {
  /** The bytes after the last complete event, as received. */
  private pieces: Buffer[] = []
  private size = 0
  /** The last of these bytes, where the search for the end goes on. */
  private tail: Buffer = EMPTY

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.size
  }

  /** Whether the bytes so far end between two events, rather than inside one that is incomplete. */
  get isBetweenEvents (): boolean {
    return NO_EVENT.test(Buffer.concat(this.pieces).toString('latin1'))
  }

  /** Returns the events that are completed by this chunk. Errors: ATTEMPT_FAILED_UNKNOWN when the event after them is too large. */
  push (chunk: Buffer): StreamEvent[] {
    const overlap = this.tail.length
    const bytes = overlap === 0 ? chunk : Buffer.concat([this.tail, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      const part = bytes.subarray(start || overlap, end)
      events.push(createEvent(this.size === 0 ? part : Buffer.concat([this.takeRemainder(), part])))
      start = end
    }
    this.append(bytes.subarray(start || overlap))
    this.tail = bytes.subarray(Math.max(start, bytes.length - MAX_SPLIT_BYTES))
    if (this.size > MAX_PENDING_BYTES) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `An event of the stream is larger than ${MAX_PENDING_BYTES} bytes`)
    return events
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder (): Buffer {
    const remainder = Buffer.concat(this.pieces)
    this.pieces = []
    this.size = 0
    this.tail = EMPTY
    return remainder
  }

  private append (piece: Buffer): void {
    if (piece.length === 0) return
    this.pieces.push(piece)
    this.size += piece.length
  }
}

function createEvent (bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1')
  return { bytes, id: ID_FIELD.exec(text)?.[1], isEmpty: !ANY_FIELD.test(text) }
}

/** Index after the blank line that ends the event starting at `start`; 0 when the event is incomplete. */
function findEventEnd (bytes: Buffer, start: number): number {
  const end = findLineFeedEnd(bytes, start)
  const returnsAt = bytes.subarray(start, end || undefined).indexOf(BLANK_LINE_OF_RETURNS)
  return returnsAt < 0 ? end : start + returnsAt + BLANK_LINE_OF_RETURNS.length
}

function findLineFeedEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return 0
}
