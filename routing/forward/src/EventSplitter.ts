const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/

/** One event of a stream, its bytes as the server sent them. */
export interface StreamEvent {
  bytes: Buffer
  /** Undefined when the event has none. */
  id: string | undefined
}

/** Takes the bytes of a stream of server-sent events apart; an event is given out once its blank line has come. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event that has not ended. */
  get pendingBytes (): number {
    return this.rest.length
  }

  /** Gives the events that end in this chunk. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
      events.push(createEvent(bytes.subarray(start, end)))
      start = end
    }
    this.rest = bytes.subarray(start)
    return events
  }

  /** What is left after the last whole event, as at the end of a stream. */
  takeRest (): Buffer {
    const { rest } = this
    this.rest = Buffer.alloc(0)
    return rest
  }
}

function createEvent (bytes: Buffer): StreamEvent {
  return { bytes, id: ID_FIELD.exec(bytes.toString('latin1'))?.[1] }
}

/** Index behind the blank line that ends the event which begins at `start`; 0 when it has not come. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return 0
}
