import type { Clock } from '@pulleystack/core.clock'

/** A part of the fixed allowance that is lent to another instance for a limited time. */
interface Loan {
  amount: number
  /** Monotonic time at which the loan expires. */
  expiresAt: number
}

/** What one instance has lent of its share of a fixed allowance, and what it has borrowed. */
export class ExtraLoans {
  private lent: readonly Loan[] = []
  private borrowed: readonly Loan[] = []

  constructor (private readonly clock: Clock) {}

  get lentAmount (): number {
    return this.sum(this.lent)
  }

  get borrowedAmount (): number {
    return this.sum(this.borrowed)
  }

  recordLent (amount: number, durationMs: number): void {
    this.lent = this.add(this.lent, amount, durationMs)
  }

  recordBorrowed (amount: number, durationMs: number): void {
    this.borrowed = this.add(this.borrowed, amount, durationMs)
  }

  private add (loans: readonly Loan[], amount: number, durationMs: number): readonly Loan[] {
    const now = this.clock.readTime()
    return [...loans.filter((loan) => loan.expiresAt > now), { amount, expiresAt: now + durationMs }]
  }

  private sum (loans: readonly Loan[]): number {
    const now = this.clock.readTime()
    return loans.reduce((total, loan) => loan.expiresAt > now ? total + loan.amount : total, 0)
  }
}
