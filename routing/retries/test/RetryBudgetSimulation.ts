import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { RetryBudgets } from '../src/index.js'

export const SERVICE = 's'
export const BOUNDS = { ratio: 0.2, fixedAllowance: 56, windowMs: 10_000 }
const RESTART_DELAY_MS = 500
/** Time until a restarted instance has links to its peers. */
const LINK_DELAY_MS = 300

/** One process run of an instance. */
interface ProcessRun {
  budgets: RetryBudgets
  startedAt: number
  isFirst: boolean
}

/** Simulates several instances that share one budget and are restarted. */
export class RetryBudgetSimulation {
  readonly clock = new ManualClock()
  /** Times of client requests, and of retries. */
  readonly requests: number[] = []
  readonly attempts: number[] = []
  /** Retries that were denied. */
  denied = 0
  readonly hub = new FakeHub({ clock: this.clock, random: new RandomSource(3) })
  private readonly runs = new Map<string, ProcessRun>()

  constructor (private readonly names: readonly string[], isFirstStart = true) {
    for (const name of names) this.start(name, isFirstStart)
  }

  /** Sends a client request to an instance; if it fails, the instance tries to retry it 10 ms later. */
  async request (name: string, isFailing: boolean): Promise<void> {
    const run = this.runs.get(name)
    if (!run) return
    run.budgets.recordRequest(SERVICE)
    this.requests.push(this.clock.readTime())
    if (!isFailing) return
    await this.clock.advance(10)
    if (this.runs.get(name) !== run) return
    if (run.budgets.find(SERVICE).take()) this.attempts.push(this.clock.readTime())
    else this.denied++
  }

  /** Like `request`, without the delay before the retry. */
  requestWithoutDelay (name: string, isFailing: boolean): void {
    const run = this.runs.get(name)
    if (!run) return
    run.budgets.recordRequest(SERVICE)
    this.requests.push(this.clock.readTime())
    if (!isFailing) return
    if (run.budgets.find(SERVICE).take()) this.attempts.push(this.clock.readTime())
    else this.denied++
  }

  listRunning (): string[] {
    return this.names.filter((name) => this.runs.has(name))
  }

  /** Kills an instance and restarts it after `RESTART_DELAY_MS`. */
  restart (name: string): void {
    if (!this.runs.delete(name)) return
    this.hub.removeNode(name)
    this.clock.setTimer(RESTART_DELAY_MS, () => this.start(name, false))
  }

  /** Maximum number of retries beyond the limit in any window; the limit uses the requests of this window or of one that began half or one window earlier. */
  measureExcess (): number {
    const { ratio, fixedAllowance, windowMs } = BOUNDS
    const countIn = (times: readonly number[], from: number): number => times.filter((at) => at >= from && at < from + windowMs).length
    const excesses = this.attempts.map((from) => {
      const requests = Math.max(...[0, windowMs / 2, windowMs].map((earlier) => countIn(this.requests, from - earlier)))
      return countIn(this.attempts, from) - ratio * requests - fixedAllowance
    })
    return Math.max(-Infinity, ...excesses)
  }

  private start (instance: string, isFirst: boolean): void {
    const network = this.hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const startedAt = this.clock.readTime()
    const membership = {
      countInstances: () => this.names.length,
      readServingMs: () => isFirst ? Infinity : this.clock.readTime() - startedAt,
      readRunMs: () => isFirst ? Infinity : this.clock.readTime() - startedAt,
      listPeers: () => isFirst || this.clock.readTime() - startedAt > LINK_DELAY_MS ? network.listLinked() : [],
    }
    this.runs.set(instance, { budgets: new RetryBudgets({ clock: this.clock, network, membership, ...BOUNDS }), startedAt, isFirst })
  }
}
