import { RetryBudget } from '@pulleystack/routing.retries'

/** Retry budgets by service. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>()

  find (partner: string, service: string): RetryBudget {
    const key = `${partner}/${service}`
    const existing = this.budgets.get(key)
    if (existing) return existing
    const created = new RetryBudget()
    this.budgets.set(key, created)
    return created
  }
}
