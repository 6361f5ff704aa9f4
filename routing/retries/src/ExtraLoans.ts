import type { Clock } from '@pulleystack/core.clock'

/** A part of the fixed extra that is another instance's for a while. */
interface ExtraLoan {
  amount: number
  /** Monotone time from which on it does not count any more. */
  until: number
}

/** What one instance has lent of its part of one fixed extra, and what it has borrowed. */
export class ExtraLoans {
  private lent: readonly ExtraLoan[] = []
  private borrowed: readonly ExtraLoan[] = []

  constructor (private readonly clock: Clock) {}

  get lentAmount (): number {
    return this.sum(this.lent)
  }

  get borrowedAmount (): number {
    return this.sum(this.borrowed)
  }

  noteLent (amount: number, forMs: number): void {
    this.lent = this.add(this.lent, amount, forMs)
  }

  noteBorrowed (amount: number, forMs: number): void {
    this.borrowed = this.add(this.borrowed, amount, forMs)
  }

  private add (loans: readonly ExtraLoan[], amount: number, forMs: number): readonly ExtraLoan[] {
    const now = this.clock.readTime()
    return [...loans.filter((loan) => loan.until > now), { amount, until: now + forMs }]
  }

  private sum (loans: readonly ExtraLoan[]): number {
    const now = this.clock.readTime()
    return loans.reduce((total, loan) => loan.until > now ? total + loan.amount : total, 0)
  }
}
