import type { Clock } from '@pulleystack/core.clock'
import { Subject, type Observable } from 'rxjs'
import type { EventFields, EventKind, TimelineEvent } from './TimelineEvent.js'

const DEFAULT_CAPACITY = 20_000

/** A ring buffer of the newest events of one instance. */
export class EventRing {
  private readonly slots: TimelineEvent[] = []
  private readonly recorded = new Subject<TimelineEvent>()
  private nextSeq = 1

  constructor (private readonly opts: { clock: Clock, instance: string, dataHall: string, capacity?: number }) {}

  /** Emits every event recorded after the subscription. */
  get events (): Observable<TimelineEvent> {
    return this.recorded
  }

  record (kind: EventKind, fields: EventFields = {}): void {
    const seq = this.nextSeq++
    const event: TimelineEvent = { seq, at: this.opts.clock.readWallTime(), instance: this.opts.instance, dataHall: this.opts.dataHall, kind, ...fields }
    this.slots[(seq - 1) % (this.opts.capacity ?? DEFAULT_CAPACITY)] = event
    this.recorded.next(event)
  }

  /** Lists the buffered events that match the filter, oldest first. */
  list (accept: (event: TimelineEvent) => boolean = () => true): TimelineEvent[] {
    return this.slots.filter(accept).sort((a, b) => a.seq - b.seq)
  }
}
