import { PulleystackError, Ran } from '@pulleystack/core.errors'

const RETRY_SECONDS = 0.5
/** Something that has not changed for this long is dropped before what still arrives. */
const STALLED_MS = 250

/** What one client makes the process hold. */
export interface Holding {
  /** Counts further bytes. Throws OVERLOADED if there is no room for them. */
  add: (bytes: number) => void
  /** Keeps the bytes from being dropped, as a server works on them. */
  keep: () => void
  release: () => void
}

interface HeldItem {
  bytes: number
  /** Monotonic time of the latest change, in milliseconds. */
  changedAt: number
  /** Undefined for what has to be kept. */
  drop: ((error: PulleystackError) => void) | undefined
}

/** Bounds the bytes that all clients together make the process hold; drops the largest item that waits for its client when there is no more room. */
export class HeldBytes {
  private readonly items = new Set<HeldItem>()
  private total = 0

  constructor (private readonly opts: { maxBytes: number, readTime: () => number }) {}

  get heldBytes (): number {
    return this.total
  }

  /** Begins to count; `drop` is called at most once, if the bytes have to be given up. */
  open (drop: (error: PulleystackError) => void): Holding {
    const item: HeldItem = { bytes: 0, changedAt: this.opts.readTime(), drop }
    this.items.add(item)
    return {
      add: (bytes) => this.add(item, bytes),
      keep: () => {
        item.drop = undefined
      },
      release: () => this.remove(item),
    }
  }

  private add (item: HeldItem, bytes: number): void {
    if (!this.items.has(item)) throw this.createError()
    item.bytes += bytes
    item.changedAt = this.opts.readTime()
    this.total += bytes
    while (this.total > this.opts.maxBytes) {
      const dropped = this.findLargest() ?? item
      const { drop } = dropped
      this.remove(dropped)
      if (dropped === item) throw this.createError()
      drop?.(this.createError())
    }
  }

  private remove (item: HeldItem): void {
    if (this.items.delete(item)) this.total -= item.bytes
  }

  /** The largest item that may be dropped, of those that are stalled if there is one. */
  private findLargest (): HeldItem | undefined {
    const droppable = [...this.items].filter(({ drop }) => drop !== undefined)
    const now = this.opts.readTime()
    const stalled = droppable.filter(({ changedAt, bytes }) => bytes > 0 && now - changedAt >= STALLED_MS)
    const candidates = stalled.length > 0 ? stalled : droppable
    return candidates.reduce<HeldItem | undefined>((largest, item) => largest && largest.bytes >= item.bytes ? largest : item, undefined)
  }

  private createError (): PulleystackError {
    return new PulleystackError('OVERLOADED', `Clients make this instance hold more than ${this.opts.maxBytes} bytes`, { ran: Ran.NO, retryAfterSeconds: RETRY_SECONDS })
  }
}
