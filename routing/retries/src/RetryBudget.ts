const SHARE = 0.1
const MAX_SAVED = 20
// A service with little traffic has earned little when its first failure comes; its lookups must be answered all the same.
const INITIAL = 5

/**
 * Further attempts (retries and hedges) that a service may cost: a tenth of its first attempts, and five to begin with.
 * A failing service never sees more than 1.1 times its traffic and those five from one instance.
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
