import type { Clock } from '@pulleystack/core.clock'

/** A heartbeat that is later than this many intervals is overdue. */
const HEARTBEAT_DELAY_FACTOR = 1.5

/** The part of an event that tells since when a peer has been silent; empty if that is unknown. */
interface Silence {
  silentSince?: number
}

/** Since when peers have been silent: monotonic times in milliseconds by which a heartbeat was overdue, or a link closed. */
export class LinkSilence {
  /** Of neighbours without a link, by instance. */
  private readonly closed = new Map<string, number>()

  constructor (private readonly clock: Clock, private readonly heartbeatMs: number) {}

  /** `stalledMs` is how long received frames may have been waiting. */
  compute ({ lastReceivedAt }: { lastReceivedAt: number }, stalledMs = 0): number {
    return Math.min(this.clock.readTime(), lastReceivedAt + stalledMs + HEARTBEAT_DELAY_FACTOR * this.heartbeatMs)
  }

  recordClosed (instance: string, link: { lastReceivedAt: number }): void {
    this.closed.set(instance, this.compute(link))
  }

  /** Describes the silence of a peer without a link. */
  describe (instance: string): Silence {
    const silentSince = this.closed.get(instance)
    return silentSince === undefined ? {} : { silentSince }
  }

  delete (instance: string): void {
    this.closed.delete(instance)
  }
}
