/**
 * How many reservations of a brittle server's slots this instance asks for at a time: one after a denial, and one more for each grant. A full server then
 * costs one question, not one for each waiting request.
 */
export class ReservationWindow {
  private pending = 0
  private limit = Infinity

  get isOpen (): boolean {
    return this.pending < this.limit
  }

  get hasPending (): boolean {
    return this.pending > 0
  }

  begin (): void {
    this.pending++
  }

  /** Ends a reservation; whether it was granted is undefined if the answer wasn't needed. */
  end (isGranted: boolean | undefined): void {
    this.pending--
    if (isGranted === false) this.limit = 1
    else if (isGranted) this.limit++
  }
}
