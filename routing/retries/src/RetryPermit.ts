/**
 * The right to one further attempt. An attempt may wait for its place for seconds, so that it counts from when the right was given, and in the
 * window in which it is sent.
 */
export class RetryPermit {
  private isOpen = true

  constructor (private readonly release: () => void, private readonly count: () => boolean) {}

  /** Counts the attempt as made now; false when the budget has shrunk too far meanwhile. */
  take (): boolean {
    this.giveBack()
    return this.count()
  }

  /** Gives an unused right back. */
  giveBack (): void {
    if (this.isOpen) this.release()
    this.isOpen = false
  }
}
