/**
 * A permit for one retry. It counts as reserved while the attempt waits for a slot, which may take seconds, and as an attempt in the window in which it
 * is sent.
 */
export class RetryPermit {
  private isReserved = true

  constructor (private readonly releaseReservation: () => void, private readonly spend: () => boolean) {}

  /** Counts the attempt as made now; returns false when the budget has shrunk too far in the meantime. */
  take (): boolean {
    this.release()
    return this.spend()
  }

  /** Releases the reservation if it is unused. */
  release (): void {
    if (this.isReserved) this.releaseReservation()
    this.isReserved = false
  }
}
