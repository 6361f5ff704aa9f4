import { RetryBudget } from '@pulleystack/routing.retries'

/** The retry budget of each service. */
export class Budgets {
  private readonly budgets = new Map<string, RetryBudget>()

  find (partner: string, service: string): RetryBudget {
    const name = `${partner}/${service}`
    const present = this.budgets.get(name)
    if (present) return present
    const created = new RetryBudget()
    this.budgets.set(name, created)
    return created
  }
}
