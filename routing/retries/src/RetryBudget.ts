const RETRY_RATIO = 0.1
const MAX_BALANCE = 20
// Allows retries for services whose traffic is too low to build up a balance.
const INITIAL_BALANCE = 5

/**
 * Limits the retries and hedges of a service to a tenth of its first attempts, plus five initially. A failing service receives at most 1.1 times its
 * traffic plus five attempts from one instance.
 */
export class RetryBudget {
  private balance = INITIAL_BALANCE

  /** Counts a first attempt. */
  recordRequest (): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + RETRY_RATIO)
  }

  /** Takes one retry out of the budget; returns false when it is exhausted. */
  take (): boolean {
    // Tolerates floating-point rounding.
    if (this.balance < 1 - 1e-9) return false
    this.balance -= 1
    return true
  }

  /** Returns a retry that was taken and not used. */
  release (): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + 1)
  }
}
