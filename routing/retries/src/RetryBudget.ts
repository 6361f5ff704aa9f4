const SHARE = 0.1
const MAX_SAVED = 20
const INITIAL = 1

/**
 * Further attempts (retries and hedges) that a service may cost: a tenth of its first attempts, with little saved up,
 * so that a failing service never sees more than 1.1 times its traffic for long.
 */
export class RetryBudget {
  private balance = INITIAL

  /** Counts a first attempt. */
  noteRequest (): void {
    this.balance = Math.min(MAX_SAVED, this.balance + SHARE)
  }

  /** Takes the right to one further attempt; false when there is none. */
  take (): boolean {
    // Tenths don't add up exactly in binary.
    if (this.balance < 1 - 1e-9) return false
    this.balance -= 1
    return true
  }

  /** Gives back a right that was taken and not used. */
  giveBack (): void {
    this.balance = Math.min(MAX_SAVED, this.balance + 1)
  }
}
