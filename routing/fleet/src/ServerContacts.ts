import { Subject, type Observable } from 'rxjs'

/** This instance was cut off from all servers, or reaches one again after `forMs` milliseconds. */
export interface ContactChange {
  isCutOff: boolean
  forMs: number
}

/** Which instances, this one included, reach no backend server at all. */
export class ServerContacts {
  /** Monotonic time in milliseconds; undefined while servers are reached. */
  private cutOffAt: number | undefined
  private readonly cutOffPeers = new Set<string>()
  private readonly changed = new Subject<ContactChange>()

  /** Emits when this instance is cut off, and when it reaches a server again. */
  get changes (): Observable<ContactChange> {
    return this.changed
  }

  /** Whether this instance reaches no server. */
  get isCutOff (): boolean {
    return this.cutOffAt !== undefined
  }

  /** Milliseconds since this instance was cut off; 0 while it reaches servers. */
  readCutOffMs (now: number): number {
    return this.cutOffAt === undefined ? 0 : now - this.cutOffAt
  }

  recordCutOff (now: number): void {
    if (this.cutOffAt !== undefined) return
    this.cutOffAt = now
    this.changed.next({ isCutOff: true, forMs: 0 })
  }

  recordReached (now: number): void {
    if (this.cutOffAt === undefined) return
    const forMs = now - this.cutOffAt
    this.cutOffAt = undefined
    this.changed.next({ isCutOff: false, forMs })
  }

  /** Applies what a peer says of itself. */
  applyPeer (instance: string, isCutOff: boolean): void {
    if (isCutOff) this.cutOffPeers.add(instance)
    else this.cutOffPeers.delete(instance)
  }

  isPeerCutOff (instance: string): boolean {
    return this.cutOffPeers.has(instance)
  }
}
