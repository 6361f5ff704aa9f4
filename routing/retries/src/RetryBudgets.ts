import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { WindowBudget } from './WindowBudget.js'

/** Requests a part of a peer's allowance. */
interface LoanRequest {
  service: string
  amount: number
  /** Maximum time that the loan is used, in milliseconds. */
  forMs: number
}

const LOANS = defineChannel<LoanRequest, number>('retries.loans')
const LOAN_TIMEOUT_MS = 500
/** Minimum interval between loan requests for a service. */
const LOAN_RETRY_MS = 1_000
/** Serving instances discover each other within this time; covers a failed dial and the next one. */
const DISCOVERY_MS = 2_500

/** Number of windows for which attempts of a previous process run may count; more than one because of its bucket granularity. */
const PREVIOUS_RUN_WINDOWS = 1.1

/** An instance's view of the instances that share its budgets. */
export interface BudgetMembership {
  /** Number of instances that share the budgets, including this one. */
  countInstances: () => number
  /** Milliseconds for which this process has shared them; infinite when all instances started together; 0 while unknown. */
  readServingMs: () => number
  /** Milliseconds since this process started; infinite if the instance had no previous process run. */
  readRunMs: () => number
  /** Names of the other reachable instances that share the budgets. */
  listPeers: () => readonly string[]
}

export interface RetryBudgetsOptions {
  clock: Clock
  network: PeerNetwork
  membership: BudgetMembership
  /** See `WindowBudgetOptions`. */
  ratio: number
  fixedAllowance: number
  windowMs: number
}

/**
 * One instance's retry budgets, one per service. After a restart, attempts of the previous process run may still count, so the instance has no share of
 * the fixed allowance and earns nothing until a window has passed. Meanwhile it borrows from its peers, which keeps the total over all instances unchanged.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowBudget>()
  /** Monotonic times from which peers may be asked for loans again, by service. */
  private readonly nextLoanRequestAt = new Map<string, number>()

  constructor (private readonly opts: RetryBudgetsOptions) {
    opts.network.handleCalls(LOANS, (_, { service, amount, forMs }) => this.find(service).lend(amount, forMs))
  }

  find (service: string): WindowBudget {
    const existing = this.budgets.get(service)
    if (existing) return existing
    const { clock, ratio, fixedAllowance, windowMs, membership } = this.opts
    const created = new WindowBudget({
      clock,
      ratio,
      fixedAllowance,
      windowMs,
      countInstances: membership.countInstances,
      ownsShare: () => this.msUntilOwnShare <= 0,
      mayEarn: () => membership.readRunMs() >= windowMs * PREVIOUS_RUN_WINDOWS,
    })
    this.budgets.set(service, created)
    return created
  }

  /** Counts a client request; requests loans from peers if the budget is short. */
  recordRequest (service: string): void {
    const budget = this.find(service)
    budget.recordRequest()
    if (budget.shortfall > 0) this.borrowShortfall(service, budget)
  }

  /** Milliseconds until this process owns its share of the allowance. */
  private get msUntilOwnShare (): number {
    return this.opts.windowMs + DISCOVERY_MS - this.opts.membership.readServingMs()
  }

  private borrowShortfall (service: string, budget: WindowBudget): void {
    const now = this.opts.clock.readTime()
    const peers = this.opts.membership.listPeers()
    if (peers.length === 0 || now < (this.nextLoanRequestAt.get(service) ?? -Infinity)) return
    this.nextLoanRequestAt.set(service, now + LOAN_RETRY_MS)
    const amount = Math.ceil(budget.shortfall / peers.length)
    for (const peer of peers) void this.requestLoan(peer, { service, amount, forMs: this.msUntilOwnShare })
  }

  private async requestLoan (peer: string, request: LoanRequest): Promise<void> {
    const { clock, network } = this.opts
    const requestedAt = clock.readTime()
    const lent = await network.call(peer, LOANS, request, LOAN_TIMEOUT_MS)
    // Counted from before the call, so that the loan expires here before the lender gets it back.
    if (lent.isOk()) this.find(request.service).borrow(lent.value, request.forMs - (clock.readTime() - requestedAt))
  }
}
