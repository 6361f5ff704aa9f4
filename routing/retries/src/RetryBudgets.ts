import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { WindowBudget } from './WindowBudget.js'

/** Asks a peer for a part of its extra. */
interface LoanRequest {
  service: string
  amount: number
  /** Milliseconds for which it is used at the most. */
  forMs: number
}

const LOANS = defineChannel<LoanRequest, number>('retries.loans')
/** A peer that does not answer within this time is left out; an answer takes a few milliseconds. */
const LOAN_CALL_MS = 500
/** Peers are asked so often while something is missing; they lend from what each has left. */
const ASK_AGAIN_MS = 1_000
/** Instances that serve have heard of each other within this time: a dial that is given up after 2 s, and the next one. */
const HEARD_MS = 2_500

/** What a former life spent counts for a window, and for what its clock was coarser by. */
const FORMER_WINDOWS = 1.1

/** How an instance stands among those that draw on the same budgets. */
export interface BudgetStanding {
  /** Instances that draw on them, this one among them. */
  countInstances: () => number
  /** Milliseconds for which this life has been sharing them; infinite when all others began together with it; 0 while that is not known. */
  readSharingMs: () => number
  /** Milliseconds since this life began; infinite when the instance had none before. */
  readLifeMs: () => number
  /** Names of the other instances that share them and can be asked. */
  listPeers: () => readonly string[]
}

export interface RetryBudgetsOptions {
  clock: Clock
  network: PeerNetwork
  standing: BudgetStanding
  /** As WindowBudgetOptions says. */
  ratio: number
  extra: number
  windowMs: number
}

/**
 * One instance's budgets for further attempts, one for each service. Nobody knows what a former life of the instance has spent, in its last window,
 * of its part of the fixed extra and of what its requests had earned, so that a new life has neither until a window has passed. Meanwhile it borrows
 * of what the others have left: with instances stopped and started in turn, few requests lose their further attempt, and the sum over all stays the
 * same whatever restarts.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowBudget>()
  /** Monotone time from which on peers may be asked again, by service. */
  private readonly askAgainAt = new Map<string, number>()

  constructor (private readonly opts: RetryBudgetsOptions) {
    opts.network.handleCalls(LOANS, (_, { service, amount, forMs }) => this.find(service).lend(amount, forMs))
  }

  find (service: string): WindowBudget {
    const present = this.budgets.get(service)
    if (present) return present
    const { clock, ratio, extra, windowMs, standing } = this.opts
    const created = new WindowBudget({
      clock,
      ratio,
      extra,
      windowMs,
      countInstances: standing.countInstances,
      ownsPart: () => this.remainingMs <= 0,
      mayEarn: () => standing.readLifeMs() >= windowMs * FORMER_WINDOWS,
    })
    this.budgets.set(service, created)
    return created
  }

  /** Counts a request of a client; makes sure that a further attempt can be paid for. */
  noteRequest (service: string): void {
    const budget = this.find(service)
    budget.noteRequest()
    if (budget.missing > 0) this.borrowMissing(service, budget)
  }

  /** Milliseconds until the part of the extra is this life's own. */
  private get remainingMs (): number {
    return this.opts.windowMs + HEARD_MS - this.opts.standing.readSharingMs()
  }

  private borrowMissing (service: string, budget: WindowBudget): void {
    const now = this.opts.clock.readTime()
    const peers = this.opts.standing.listPeers()
    if (peers.length === 0 || now < (this.askAgainAt.get(service) ?? -Infinity)) return
    this.askAgainAt.set(service, now + ASK_AGAIN_MS)
    const amount = Math.ceil(budget.missing / peers.length)
    for (const peer of peers) void this.askForLoan(peer, { service, amount, forMs: this.remainingMs })
  }

  private async askForLoan (peer: string, request: LoanRequest): Promise<void> {
    const { clock, network } = this.opts
    const askedAt = clock.readTime()
    const lent = await network.call(peer, LOANS, request, LOAN_CALL_MS)
    // The lender counts from a later moment, so that it never has back what is still used here.
    if (lent.isOk()) this.find(request.service).borrow(lent.value, request.forMs - (clock.readTime() - askedAt))
  }
}
