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
  /** Consists of comments and blank lines only, such as a heartbeat. */
  isComment: boolean
}

/** Blank lines and comments, which belong to no event. */
const NO_EVENT = /^(?:[\r\n]|:[^\r\n]*[\r\n])*$/

/** Splits a stream of server-sent events; an event ends with its blank line. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.remainder.length
  }

  /** Whether the bytes so far end between two events, rather than inside one that is incomplete. */
  get isBetweenEvents (): boolean {
    return NO_EVENT.test(this.remainder.toString('latin1'))
  }

  /** Returns the events that are completed by this chunk. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      events.push(createEvent(bytes.subarray(start, end)))
      start = end
    }
    this.remainder = bytes.subarray(start)
    return events
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder (): Buffer {
    const { remainder } = this
    this.remainder = Buffer.alloc(0)
    return remainder
  }
}

function createEvent (bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1')
  return { bytes, id: ID_FIELD.exec(text)?.[1], isComment: NO_EVENT.test(text) }
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
